/** What an entry tells operators of itself and of what it sees. */

import type { OutcomeKind } from "./outcome.ts";
import type { Target, TargetLoad } from "./target.ts";

/** How an entry sees one target. */
export interface TargetStatus {
  readonly target: Target;
  /** `stopping` while a planned stop stands; `unreachable` if calls fail. */
  readonly state: "serving" | "stopping" | "unreachable";
  readonly load?: TargetLoad;
}

export interface EntryStatus {
  readonly name: string;
  readonly dataCentre: string;
  readonly callerUrl: string;
}

export interface StatusReport {
  /** The entry that reports. */
  readonly entry: EntryStatus;
  readonly version: string;
  readonly incarnation: string;
  readonly isReady: boolean;
  /** Why the entry does not take work; empty when it does. */
  readonly notReadyReasons: readonly string[];
  readonly viewRevision: number;
  /** Revision of the configuration in force; absent if there is none. */
  readonly configRevision?: number;
  /** Whether the platform answered the entry's last call. */
  readonly isPlatformReachable: boolean;
  readonly entries: readonly EntryStatus[];
  readonly targets: readonly TargetStatus[];
  /** Requests that ended here since the start, by outcome. */
  readonly outcomes: Readonly<Record<OutcomeKind, number>>;
}

/** What an agent tells entries of itself. */
export interface AgentStatus {
  readonly target: Target;
  readonly incarnation: string;
  /** Revision of the newest view that an entry showed the agent. */
  readonly viewRevision: number;
  readonly isDraining: boolean;
  readonly load: TargetLoad;
}
