import type { Type } from "@nestjs/common";
import { ConfigurationController } from "./configuration_controller.ts";

/** What operators are served by. */
export const OPERATOR_CONTROLLERS: readonly Type[] = [
  ConfigurationController,
];
