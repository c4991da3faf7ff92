/** Converts events of the platform's watch into events of the takeover core. */

import { parseValue } from "@dandelionbank/parse-objects";
import type {
  RegisteredAgent,
  TakeOverEvent,
} from "@dandelionbank/take-over-keys";
import type {
  AgentRegistration,
  IncarnationClosing,
  ObjectChange,
  StoredObject,
} from "@dandelionbank/types";
import type { WatchEvent } from "@dandelionbank/watch-objects";

export function toTakeOverEvents(event: WatchEvent): readonly TakeOverEvent[] {
  switch (event.type) {
    case "listed": {
      const { revision, items } = event.list;
      const agents = parseAgents(items);
      return [{ type: "viewReset", revision, agents }];
    }
    case "changed":
      return [...toChangeEvents(event.change)];
    case "bookmark":
      return [{ type: "revisionReached", revision: event.revision }];
    case "unreachable":
      return [];
  }
}

/** Parses the agents among stored objects and skips malformed ones. */
export function parseAgents(
  items: readonly StoredObject[],
): readonly RegisteredAgent[] {
  return items.flatMap((object) => parseAgent(object) ?? []);
}

/** Parses a closing; returns `undefined` if it is malformed. */
export function parseClosing(
  object: StoredObject,
): IncarnationClosing | undefined {
  const parsed = parseValue("closing", object.value);
  if (parsed.kind === "invalid") return undefined;
  return parsed.value.incarnation === object.name ? parsed.value : undefined;
}

function toChangeEvents(change: ObjectChange): readonly TakeOverEvent[] {
  const { revision } = change.type === "put" ? change.object : change;
  const reached: TakeOverEvent = { type: "revisionReached", revision };
  if (change.type === "delete") {
    if (change.kind !== "agent") return [reached];
    return [{ type: "agentRemoved", target: change.name, revision }, reached];
  }
  const agent = parseAgent(change.object);
  if (agent === undefined) return [reached];
  return [{ type: "agentChanged", agent, revision }, reached];
}

function parseAgent(object: StoredObject): RegisteredAgent | undefined {
  if (object.kind !== "agent") return undefined;
  const parsed = parseValue("agent", object.value);
  if (parsed.kind === "invalid") return undefined;
  const { target, incarnation } = parsed.value as AgentRegistration;
  return { target: target.name, pool: target.pool, incarnation };
}
