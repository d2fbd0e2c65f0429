import type { Type } from "@nestjs/common";
import { StatusController } from "./status_controller.ts";
import { TelemetryController } from "./telemetry_controller.ts";

/** The controllers of the telemetry API. */
export const TELEMETRY_CONTROLLERS: readonly Type[] = [
  StatusController,
  TelemetryController,
];
