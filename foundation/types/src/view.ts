/** A process's view of the platform's objects at one revision. */

import type { Config } from "./config.ts";
import type { Contract, Operator } from "./contract.ts";
import type {
  AgentRegistration,
  EntryRegistration,
  IncarnationClosing,
} from "./registration.ts";
import type { PlannedStop } from "./stop.ts";
import type { StoredObject } from "./stored_object.ts";

export interface View {
  /** The store's revision that this view reflects; it never decreases. */
  readonly revision: number;
  readonly config: StoredObject<Config> | undefined;
  readonly contracts: ReadonlyMap<string, StoredObject<Contract>>;
  readonly operators: ReadonlyMap<string, StoredObject<Operator>>;
  /**
   * Names of the operators whose value is invalid and has no valid predecessor, so
   * that they are not among `operators`.
   */
  readonly invalidOperators: ReadonlySet<string>;
  readonly stops: ReadonlyMap<string, StoredObject<PlannedStop>>;
  readonly agents: ReadonlyMap<string, StoredObject<AgentRegistration>>;
  readonly entries: ReadonlyMap<string, StoredObject<EntryRegistration>>;
  readonly closings: ReadonlyMap<string, StoredObject<IncarnationClosing>>;
}
