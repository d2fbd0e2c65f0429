import test from "ava";
import {
  changeId,
  classId,
  Configuration,
  configurationRecordSchema,
  InvariantViolation,
  logOffset,
} from "@foxtailwind/core";

function setClass(base: number, firstTokenMilliseconds: number) {
  return configurationRecordSchema.parse({
    id: changeId(`change-${base}-${firstTokenMilliseconds}`),
    author: "operator",
    base,
    changes: [{
      kind: "set_class",
      class: classId("drafting"),
      target: { firstTokenMilliseconds },
    }],
  });
}

test("of two changes with the same base, the lower offset wins", (t) => {
  const configuration = new Configuration();
  const first = configuration.apply(logOffset(0), setClass(-1, 500));
  const second = configuration.apply(logOffset(1), setClass(-1, 900));
  t.deepEqual(first, { kind: "accepted" });
  t.like(second, { kind: "conflict", winner: logOffset(0) });
  t.is(
    configuration.classes.get(classId("drafting"))?.firstTokenMilliseconds,
    500,
  );
});

test("an offset that was already read is never applied", (t) => {
  const configuration = new Configuration();
  configuration.apply(logOffset(5), setClass(-1, 500));
  t.throws(() => configuration.apply(logOffset(5), setClass(5, 900)), {
    instanceOf: InvariantViolation,
  });
});
