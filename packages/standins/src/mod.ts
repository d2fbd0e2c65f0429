/**
 * Small servers that replace engines, plain services and the platform in tests
 * and demonstrations, with fault injection.
 * @module
 */
export * from "./engine/counters.ts";
export * from "./engine/fake_engine.ts";
export * from "./engine/settings.ts";
export * from "./log_service/fake_log_service.ts";
export * from "./log_service/settings.ts";
export * from "./network/partitionable_link.ts";
export * from "./network/slow_link.ts";
export * from "./plain_service/fake_plain_service.ts";
export * from "./shared/common_faults.ts";
export * from "./shared/random.ts";
export * from "./shared/stand_in.ts";
export * from "./vm_list/fake_vm_list.ts";
export * from "./weight_store/fake_weight_store.ts";
export * from "./weight_store/settings.ts";
export * from "./weight_store/transfer_scheduler.ts";
export * from "./program/plan.ts";
export * from "./program/plan_from_flags.ts";
export * from "./program/plan_from_ini.ts";
export * from "./program/start_stand_ins.ts";
