import type { Type } from "@nestjs/common";
import { ConfigurationController } from "./configuration_controller.ts";
import { DrainController } from "./drain_controller.ts";
import { ItemChangesController } from "./item_changes_controller.ts";
import { ItemsController } from "./items_controller.ts";
import { MachinesController } from "./machines_controller.ts";
import { ConfigurationStatusController } from "./status_controller.ts";

/** What operators are served by. */
export const OPERATOR_CONTROLLERS: readonly Type[] = [
  ConfigurationStatusController,
  ConfigurationController,
  ItemsController,
  ItemChangesController,
  MachinesController,
  DrainController,
];
