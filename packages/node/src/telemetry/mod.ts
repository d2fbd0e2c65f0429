import type { Type } from "@nestjs/common";
import { StatusController } from "./status_controller.ts";
import { TelemetryController } from "./telemetry_controller.ts";

/** What operators see of the running deployment. */
export const TELEMETRY_CONTROLLERS: readonly Type[] = [
  StatusController,
  TelemetryController,
];
