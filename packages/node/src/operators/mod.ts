import type { Type } from "@nestjs/common";
import { ConfigurationController } from "./configuration_controller.ts";
import { DrainController } from "./drain_controller.ts";
import { ItemChangesController } from "./item_changes_controller.ts";
import { ItemsController } from "./items_controller.ts";
import { VmsController } from "./vms_controller.ts";
import { ConfigurationStatusController } from "./configuration_status_controller.ts";

/** The controllers of the operator API. */
export const OPERATOR_CONTROLLERS: readonly Type[] = [
  ConfigurationStatusController,
  ConfigurationController,
  ItemsController,
  ItemChangesController,
  VmsController,
  DrainController,
];
