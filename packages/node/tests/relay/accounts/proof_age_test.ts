import { milliseconds } from "@foxtailwind/core";
import { decodeProofAge, encodeProofAge } from "@foxtailwind/node/relay";
import { ExchangeAnswer } from "@foxtailwind/protocol";
import test from "ava";

/** The age after a VM's clock was set from 1970 to the present. */
const AGE_AFTER_CLOCK_STEP = milliseconds(1_790_000_000_000);

test("an age is rounded up on its way to a peer", (t) => {
  t.is(decodeProofAge(encodeProofAge(milliseconds(12.3))), milliseconds(13));
  t.is(decodeProofAge(encodeProofAge(undefined)), undefined);
});

test("an age that a clock step made too large for the message counts as no proof", (t) => {
  const encoded = encodeProofAge(AGE_AFTER_CLOCK_STEP);
  const message = ExchangeAnswer.fromPartial(encoded);
  t.notThrows(() => ExchangeAnswer.encode(message).finish());
  t.is(decodeProofAge(encoded), undefined);
});
