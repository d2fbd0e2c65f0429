/** How nodes that don't read the registry often hear of its changes. */
export abstract class SpreadWay {
  /** A short name for reports. */
  abstract readonly name: string;
  /** Whether exchanges bring changes, not only that there are some. */
  abstract readonly exchangesChanges: boolean;
  /** Whether changes are sent on at once, to hubs and by them. */
  abstract readonly sendsAtOnce: boolean;
  /** Whether nodes whose proof is old ask another hub or read the registry. */
  abstract readonly renewsProofs: boolean;
}

/** Digests say how far nodes have read; whoever is behind fetches the whole. */
export class FetchesWhatDigestsTell extends SpreadWay {
  override readonly name = "digests, then fetches";
  override readonly exchangesChanges = false;
  override readonly sendsAtOnce = false;
  override readonly renewsProofs = false;
}

/** Exchanges bring the changes. */
export class ExchangesChanges extends SpreadWay {
  override readonly name = "exchanges";
  override readonly exchangesChanges = true;
  override readonly sendsAtOnce = false;
  override readonly renewsProofs = false;
}

/** Changes are also sent on at once. */
export class SendsAtOnce extends SpreadWay {
  override readonly name = "exchanges, sent at once";
  override readonly exchangesChanges = true;
  override readonly sendsAtOnce = true;
  override readonly renewsProofs = false;
}

/** Nodes also know how old their registry is, and renew it. */
export class RenewsProofs extends SpreadWay {
  override readonly name = "exchanges, sent at once, renewed";
  override readonly exchangesChanges = true;
  override readonly sendsAtOnce = true;
  override readonly renewsProofs = true;
}
