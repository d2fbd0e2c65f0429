import {
  attemptNumber,
  type AttemptResult,
  backendServerId,
  type Failure,
  failureDomainId,
  instant,
  PowerOfTwoChooser,
  randomSource,
  requestId,
  SERVICE_POLICY,
  serviceId,
  type ServiceOrder,
  type ServicePolicy,
  ServiceRouter,
  UnlimitedConcurrency,
} from "@foxtailwind/core";
import test from "ava";

const LOCAL = failureDomainId("domain-1");
const REMOTE = failureDomainId("domain-2");
const ANSWERED: AttemptResult = {
  kind: "answered",
  status: 200,
  leaving: false,
};

function routerOf(
  servers: number,
  policy: ServicePolicy = SERVICE_POLICY,
): ServiceRouter {
  const router = new ServiceRouter({
    service: serviceId("booking"),
    failureDomain: LOCAL,
    random: randomSource(1),
    policy,
  });
  const views = Array.from({ length: servers }, (_, index) => ({
    server: backendServerId(`server-${index}`),
    failureDomain: index % 2 === 0 ? LOCAL : REMOTE,
    leaving: false,
  }));
  router.updateServers(instant(0), views);
  router.setTarget({ firstTokenMilliseconds: 100 });
  return router;
}

function submit(
  router: ServiceRouter,
  now: number,
  call: { readonly id: string; readonly repeatable: boolean },
): readonly ServiceOrder[] {
  const { id, repeatable } = call;
  router.submit(instant(now), { call: requestId(id), repeatable });
  return router.decide(instant(now));
}

function end(
  router: ServiceRouter,
  now: number,
  ended: {
    readonly id: string;
    readonly attempt?: number;
    readonly result: AttemptResult;
  },
): readonly ServiceOrder[] {
  const call = requestId(ended.id);
  const attempt = attemptNumber(ended.attempt ?? 1);
  router.attemptEnded(instant(now), { call, attempt }, ended.result);
  return router.decide(instant(now));
}

function failure(outcome: Failure["outcome"]): AttemptResult {
  return {
    kind: "failed",
    failure: {
      reason: "unavailable",
      step: "call_service",
      peer: "server",
      message: "No answer.",
      outcome,
    },
  };
}

test("a non-repeatable call is retried only when proven not run", (t) => {
  const router = routerOf(3);
  const call = { id: "a", repeatable: false };
  t.is(submit(router, 0, call)[0]?.kind, "dispatch");
  t.is(
    end(router, 1, { id: "a", result: failure("not_run") })[0]?.kind,
    "dispatch",
  );
  const [last] = end(router, 2, {
    id: "a",
    attempt: 2,
    result: failure("unknown"),
  });
  t.like(last, { kind: "fail", failure: { outcome: "unknown" } });
});

test("a repeatable call is retried at a server that it has not tried", (t) => {
  const router = routerOf(2);
  const [first] = submit(router, 0, { id: "a", repeatable: true });
  const [second] = end(router, 1, { id: "a", result: failure("unknown") });
  t.true(first?.kind === "dispatch" && second?.kind === "dispatch");
  if (first?.kind !== "dispatch" || second?.kind !== "dispatch") return;
  t.not(first.server, second.server);
});

test("retries stop when their budget is exhausted", (t) => {
  const router = routerOf(4, { ...SERVICE_POLICY, ejection: false });
  let attempts = 0;
  for (let call = 0; call < 200; call += 1) {
    let orders = submit(router, call, { id: `${call}`, repeatable: true });
    for (let attempt = 1; orders[0]?.kind === "dispatch"; attempt += 1) {
      attempts += 1;
      const result = failure("unknown");
      orders = end(router, call, { id: `${call}`, attempt, result });
    }
  }
  const budgetCapacity = 10;
  const deposited = 19;
  t.is(attempts, 200 + budgetCapacity + deposited);
});

test("failing servers are ejected, but never more than half", (t) => {
  const router = routerOf(4);
  for (let call = 0; call < 200; call += 1) {
    submit(router, call, { id: `${call}`, repeatable: false });
    end(router, call, { id: `${call}`, result: failure("unknown") });
  }
  const now = instant(200);
  t.is(router.servers.filter((server) => server.isEligible(now)).length, 2);
});

test("a server that announces that it is leaving gets no more calls", (t) => {
  const router = routerOf(1);
  submit(router, 0, { id: "a", repeatable: true });
  end(router, 1, { id: "a", result: { ...ANSWERED, leaving: true } });
  const [order] = submit(router, 2, { id: "b", repeatable: true });
  t.like(order, { kind: "fail", failure: { outcome: "not_run" } });
});

test("a call that would miss its target is refused with a retry delay", (t) => {
  const router = routerOf(1);
  for (let call = 0; call < 30; call += 1) {
    submit(router, call * 100, { id: `${call}`, repeatable: false });
    end(router, call * 100 + 50, { id: `${call}`, result: ANSWERED });
  }
  const orders = Array.from(
    { length: 400 },
    (_, call) =>
      submit(router, 4_000, { id: `burst-${call}`, repeatable: false }),
  )
    .flat();
  const refused = orders.filter((order) => order.kind === "fail");
  t.true(refused.length > 0);
  for (const order of refused) {
    t.like(order.failure, { reason: "overloaded", outcome: "not_run" });
    t.true((order.failure.retryAfterMilliseconds ?? 0) > 0);
  }
});

test("a late call is hedged, and the slower attempt is abandoned", (t) => {
  const router = routerOf(2);
  for (let call = 0; call < 30; call += 1) {
    submit(router, call * 20, { id: `${call}`, repeatable: true });
    end(router, call * 20 + 10, { id: `${call}`, result: ANSWERED });
  }
  submit(router, 1_000, { id: "late", repeatable: true });
  const wake = router.nextDecisionAt();
  const [hedge] = router.decide(instant(wake ?? 0));
  t.like(hedge, { kind: "dispatch", call: "late", attempt: 2 });
  const result = { id: "late", attempt: 2, result: ANSWERED };
  const orders = end(router, 1_050, result);
  t.deepEqual(orders.map((order) => order.kind), ["abandon", "answer"]);
});

test("a non-repeatable call is never hedged", (t) => {
  const router = routerOf(2);
  for (let call = 0; call < 30; call += 1) {
    submit(router, call * 20, { id: `${call}`, repeatable: true });
    end(router, call * 20 + 10, { id: `${call}`, result: ANSWERED });
  }
  submit(router, 1_000, { id: "late", repeatable: false });
  t.is(router.nextDecisionAt(), undefined);
  t.deepEqual(router.decide(instant(1_900)), []);
});

test("a router with hedging disabled schedules no hedge", (t) => {
  const router = routerOf(2, { ...SERVICE_POLICY, hedging: false });
  for (let call = 0; call < 30; call += 1) {
    submit(router, call * 20, { id: `${call}`, repeatable: true });
    end(router, call * 20 + 10, { id: `${call}`, result: ANSWERED });
  }
  submit(router, 1_000, { id: "late", repeatable: true });
  t.is(router.nextDecisionAt(), undefined);
});

test("the local failure domain is preferred when it costs no more", (t) => {
  const policy = {
    ...SERVICE_POLICY,
    chooser: () => new PowerOfTwoChooser(),
    limit: () => new UnlimitedConcurrency(),
  };
  const router = routerOf(4, policy);
  const servers = new Set<string>();
  for (let call = 0; call < 50; call += 1) {
    const [order] = submit(router, call, { id: `${call}`, repeatable: false });
    if (order?.kind === "dispatch") servers.add(order.server);
    end(router, call + 1, { id: `${call}`, result: ANSWERED });
  }
  t.deepEqual([...servers].sort(), ["server-0", "server-2"]);
});
