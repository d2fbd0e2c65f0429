import { DeploymentSimulation, measureRun, POLICIES } from "@foxtailwind/bench";
import {
  type DeploymentEvent,
  type DeploymentOrder,
  DeploymentPolicy,
  engineId,
  type Instant,
  instant,
  InvariantViolation,
  type RequestId,
  seconds,
} from "@foxtailwind/core";
import test from "ava";
import { smallRequest, smallWorkload } from "../helpers/small_workload.ts";

const REQUESTS = Array.from(
  { length: 60 },
  (_, index) => smallRequest(index * 250, index * 7 % 6),
);

const TROUBLED = smallWorkload(REQUESTS, {
  incidents: [
    {
      kind: "engine_restart",
      at: instant(5_000),
      engine: engineId("e0"),
      downFor: seconds(1),
    },
    {
      kind: "load_failures",
      at: instant(8_000),
      until: instant(9_000),
      probability: 0.8,
    },
  ],
});

for (const { name, create } of POLICIES) {
  test(`${name} ends every request once, and the same again`, (t) => {
    const first = measureRun(TROUBLED, {
      name,
      policy: create(TROUBLED.store),
    });
    const second = measureRun(TROUBLED, {
      name,
      policy: create(TROUBLED.store),
    });
    t.is(first.classes[0]?.requests, REQUESTS.length);
    t.is(first.stallSeconds, second.stallSeconds);
    t.is(first.endedAt, second.endedAt);
  });
}

test("stall runs from arrival to the load's report", (t) => {
  const workload = smallWorkload([smallRequest(0, 1), smallRequest(5_000, 1)]);
  const simulation = new DeploymentSimulation(workload, firstPolicy());
  simulation.run();
  const [cold, warm] = simulation.ledger.records;
  t.true((cold?.stallMilliseconds ?? 0) >= 410);
  t.true((cold?.stallMilliseconds ?? 0) <= 520);
  t.is(warm?.stallMilliseconds, 0);
});

test("a refused request misses its target and stalls for it", (t) => {
  const result = measureRun(smallWorkload([smallRequest(0, 1)]), {
    name: "refusing",
    policy: new RefusingPolicy(),
  });
  t.is(result.interactiveAttainment, 0);
  t.is(result.refused, 1);
  t.is(result.stallSeconds, 2);
});

test("a policy that never decides is caught", (t) => {
  const simulation = new DeploymentSimulation(
    smallWorkload([smallRequest(0, 1)]),
    new IdlePolicy(),
  );
  const fault = t.throws(() => {
    simulation.run();
  }, {
    instanceOf: InvariantViolation,
  });
  t.is(fault.invariant, "every_request_ends");
});

function firstPolicy(): DeploymentPolicy {
  const [first] = POLICIES;
  if (first === undefined) throw new Error("There is no policy.");
  return first.create(TROUBLED.store);
}

class IdlePolicy extends DeploymentPolicy {
  override handle(): void {
    // It learns nothing.
  }

  override decide(): readonly DeploymentOrder[] {
    return [];
  }

  override nextWake(): undefined {
    return undefined;
  }
}

class RefusingPolicy extends DeploymentPolicy {
  #arrived: RequestId[] = [];

  override handle(_now: Instant, event: DeploymentEvent): void {
    if (event.kind !== "request_arrived") return;
    this.#arrived.push(event.queued.request);
  }

  override decide(): readonly DeploymentOrder[] {
    const refused = this.#arrived;
    this.#arrived = [];
    return refused.map((request) => ({
      kind: "refuse",
      request,
      retryAfter: seconds(1),
    }));
  }

  override nextWake(): undefined {
    return undefined;
  }
}
