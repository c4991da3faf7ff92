/**
 * Registrations that processes write to the platform's objects. Each start of a
 * process is a new incarnation of it.
 */

import type { Target } from "./target.ts";

/** An entry's registration. */
export interface EntryRegistration {
  readonly name: string;
  /** Differs with every start of the process. */
  readonly incarnation: string;
  readonly callerUrl: string;
  readonly peerUrl: string;
  readonly dataCentre: string;
}

/** An agent's registration. */
export interface AgentRegistration {
  readonly target: Target;
  readonly incarnation: string;
  readonly peerUrl: string;
}

/** Ends an entry's incarnation and names the entry that takes over its keys. */
export interface IncarnationClosing {
  readonly entry: string;
  readonly incarnation: string;
  readonly successor: string;
}
