/** A fault of one run, from one time of the run to another. */
export type Fault =
  | {
    readonly kind: "pause" | "kill" | "leave";
    readonly node: number;
    readonly at: number;
    readonly lasts: number;
  }
  | {
    /** Messages from one node to another one are lost. */
    readonly kind: "one_way";
    readonly from: number;
    readonly to: number;
    readonly at: number;
    readonly lasts: number;
  }
  | {
    /** Appends of a node reach the log so much later. */
    readonly kind: "late_appends";
    readonly node: number;
    readonly at: number;
    readonly lasts: number;
    readonly delay: number;
  }
  | { readonly kind: "log_outage"; readonly at: number; readonly lasts: number }
  | {
    /** Nodes that do not reach the log. */
    readonly kind: "log_cut";
    readonly nodes: readonly number[];
    readonly at: number;
    readonly lasts: number;
  }
  | {
    /** Nodes that do not reach the other nodes. */
    readonly kind: "partition";
    readonly nodes: readonly number[];
    readonly at: number;
    readonly lasts: number;
  };
