import {
  type CatchUpState,
  knowledgeSources,
  milliseconds,
  nodeId,
  type PeerAhead,
  peerSilenceLimit,
} from "@foxtailwind/core";
import test from "ava";

const STATE: CatchUpState = {
  behindFor: milliseconds(0),
  failedPeer: undefined,
};
const LONG_BEHIND: CatchUpState = { ...STATE, behindFor: milliseconds(400) };

function peer(id: string, isPartner: boolean): PeerAhead {
  return { id: nodeId(id), isPartner };
}

test("exchange partners are asked before other peers", (t) => {
  const partner = peer("hub", true);
  const peers = [peer("a", false), partner, peer("b", false)];
  t.deepEqual(knowledgeSources(peers, STATE), [partner]);
  t.deepEqual(knowledgeSources(peers, LONG_BEHIND), [partner]);
});

test("other peers are asked once no partner has the records in time", (t) => {
  const peers = [peer("a", false), peer("b", false)];
  t.deepEqual(knowledgeSources(peers, STATE), []);
  t.deepEqual(knowledgeSources(peers, LONG_BEHIND), peers);
});

test("a peer that has failed is asked again only if it is the only one", (t) => {
  const partner = peer("hub", true);
  const other = peer("a", false);
  const failed = { ...LONG_BEHIND, failedPeer: partner.id };
  t.deepEqual(knowledgeSources([partner, other], failed), [other]);
  t.deepEqual(knowledgeSources([partner], failed), [partner]);
});

test("after failures, a peer is given more time to answer", (t) => {
  t.deepEqual([0, 1, 2, 3].map(peerSilenceLimit), [
    milliseconds(300),
    milliseconds(600),
    milliseconds(1_200),
    milliseconds(1_200),
  ]);
});
