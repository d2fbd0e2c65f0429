import type { Type } from "@nestjs/common";
import { AddressesController } from "./addresses_controller.ts";
import { CompletionsController } from "./completions/completions_controller.ts";
import { HealthController } from "./health_controller.ts";
import { ModelsController } from "./models_controller.ts";
import { OpenapiController } from "./openapi/openapi_controller.ts";

/** The controllers of the caller API. */
export const CALLER_CONTROLLERS: readonly Type[] = [
  AddressesController,
  CompletionsController,
  HealthController,
  ModelsController,
  OpenapiController,
];
