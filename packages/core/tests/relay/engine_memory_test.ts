import { EngineMemory, modelId } from "@foxtailwind/core";
import test from "ava";

const SMALL = { model: modelId("s"), megabytes: 100, adapterMegabytes: 10 };
const LARGE = { model: modelId("l"), megabytes: 900, adapterMegabytes: 30 };

function memoryOf(megabytes: number, models = [LARGE, SMALL]): EngineMemory {
  return new EngineMemory(() => ({ megabytes, models }));
}

test("adapters have the memory that models leave", (t) => {
  const memory = memoryOf(1_050);
  t.is(memory.adapterMegabytes, 1_050);
  memory.recordModels([LARGE.model]);
  t.is(memory.adapterMegabytes, 150);
  memory.recordModels([LARGE.model, SMALL.model]);
  t.is(memory.adapterMegabytes, 50);
  memory.recordModels([LARGE.model, LARGE.model]);
  t.is(memory.adapterMegabytes, 0, "Never below zero.");
});

test("a model that the configuration no longer has counts as the largest", (t) => {
  const memory = memoryOf(1_050);
  memory.recordModels([modelId("earlier")]);
  t.is(memory.adapterMegabytes, 150);
  t.is(memory.adapterSize(modelId("earlier")), 30);
});

test("only adapters of models that are held count for the largest one", (t) => {
  const memory = memoryOf(1_050);
  t.is(memory.largestAdapter, 30);
  memory.recordModels([SMALL.model]);
  t.is(memory.largestAdapter, 10);
});

// Guards against an engine that is ordered to load a model larger than itself.
test("only a model that fits is loaded", (t) => {
  t.is(memoryOf(1_050).loadableModel(), LARGE.model);
  t.is(memoryOf(500).loadableModel(), SMALL.model);
  t.is(memoryOf(50).loadableModel(), undefined);
  t.is(memoryOf(0).loadableModel(), LARGE.model, "Not limited.");
  t.is(memoryOf(1_050, []).loadableModel(), undefined);
});

test("a change of the configuration takes effect", (t) => {
  let megabytes = 1_000;
  const memory = new EngineMemory(() => ({ megabytes, models: [LARGE] }));
  memory.recordModels([LARGE.model]);
  t.is(memory.adapterMegabytes, 100);
  megabytes = 2_000;
  t.is(memory.adapterMegabytes, 1_100);
});
