import {
  ConfigurationRules,
  type LogOffset,
  logOffset,
} from "@foxtailwind/core";

/** One rule of the configuration replaced by a wrong one. */
export interface ConfigurationMutant {
  readonly name: string;
  /** The invariant that is expected to notice. */
  readonly invariant: string;
  readonly rules: ConfigurationRules;
}

class AppliesLowerOffsets extends ConfigurationRules {
  override isUnread(): boolean {
    return true;
  }
}

class TrustsEveryBase extends ConfigurationRules {
  override isBaseCurrent(): boolean {
    return true;
  }
}

class AllowsBaseOneShort extends ConfigurationRules {
  override isBaseCurrent(version: LogOffset, base: LogOffset): boolean {
    return version <= base + 1;
  }
}

class SnapshotsOneShort extends ConfigurationRules {
  override snapshotCovers(offset: LogOffset): LogOffset {
    return logOffset(offset - 1);
  }
}

class SnapshotsOneAhead extends ConfigurationRules {
  override snapshotCovers(offset: LogOffset): LogOffset {
    return logOffset(offset + 1);
  }
}

class ForgetsIds extends ConfigurationRules {
  override isRepeat(): boolean {
    return false;
  }
}

class SkipsNewerFormats extends ConfigurationRules {
  override onNewerFormat(): "halt" | "skip" {
    return "skip";
  }
}

class ReadsOverGaps extends ConfigurationRules {
  override isContiguous(): boolean {
    return true;
  }
}

const AGREE = "configuration_readers_agree";
const SNAPSHOTS_AGREE = "configuration_snapshots_agree";

/** The mutants, each caught by {@link runConfigurationSoak}. */
export const configurationMutants: readonly ConfigurationMutant[] = [
  {
    name: "apply a lower offset",
    invariant: "configuration_never_reverts",
    rules: new AppliesLowerOffsets(),
  },
  { name: "trust every base", invariant: AGREE, rules: new TrustsEveryBase() },
  {
    name: "allow a base one short",
    invariant: AGREE,
    rules: new AllowsBaseOneShort(),
  },
  {
    name: "snapshot one offset short",
    invariant: SNAPSHOTS_AGREE,
    rules: new SnapshotsOneShort(),
  },
  {
    name: "snapshot one offset ahead",
    invariant: AGREE,
    rules: new SnapshotsOneAhead(),
  },
  { name: "forget ids", invariant: AGREE, rules: new ForgetsIds() },
  {
    name: "skip a newer format",
    invariant: AGREE,
    rules: new SkipsNewerFormats(),
  },
  { name: "read over a gap", invariant: AGREE, rules: new ReadsOverGaps() },
];
