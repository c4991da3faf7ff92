/** Status report for operators: the entry's own state and its view of the system. */

import type { AgentFollower } from "@dandelionbank/follow-peers";
import type {
  AgentRegistration,
  EntryStatus,
  OutcomeKind,
  StatusReport,
  TargetStatus,
  View,
} from "@dandelionbank/types";

export interface StatusReportOptions {
  readonly entry: EntryStatus;
  readonly version: string;
  readonly incarnation: string;
  readonly readiness: {
    readonly isReady: boolean;
    readonly reasons: readonly string[];
  };
  readonly view: View | undefined;
  readonly isPlatformReachable: boolean;
  readonly agents: AgentFollower;
  readonly outcomes: Readonly<Record<OutcomeKind, number>>;
}

export function createStatusReport(options: StatusReportOptions): StatusReport {
  const { view, readiness, agents } = options;
  const configRevision = view?.config?.revision;
  return {
    entry: options.entry,
    version: options.version,
    incarnation: options.incarnation,
    isReady: readiness.isReady,
    notReadyReasons: readiness.reasons,
    viewRevision: view?.revision ?? 0,
    ...(configRevision === undefined ? {} : { configRevision }),
    isPlatformReachable: options.isPlatformReachable,
    entries: [...(view?.entries.values() ?? [])].map(({ value }) => value),
    targets: [...(view?.agents.values() ?? [])].map(({ value }) =>
      describeTarget(value, { view, agents })
    ),
    outcomes: options.outcomes,
  };
}

function describeTarget(
  { target }: AgentRegistration,
  context: { readonly view: View | undefined; readonly agents: AgentFollower },
): TargetStatus {
  const status = context.agents.statusOf(target.name);
  const load = status?.load;
  return {
    target,
    state: determineState(target.name, context),
    ...(load === undefined ? {} : { load }),
  };
}

/**
 * Determines a target's state as this entry knows it. Without a status, as of an
 * agent that other entries push to, the target counts as serving.
 */
function determineState(
  target: string,
  { view, agents }: {
    readonly view: View | undefined;
    readonly agents: AgentFollower;
  },
): TargetStatus["state"] {
  if (view?.stops.has(target)) return "stopping";
  if (agents.isUnreachable(target)) return "unreachable";
  return agents.statusOf(target)?.isDraining ? "stopping" : "serving";
}
