/** What the takeover core must know of the platform's watch. */

import { parseValue } from "@dandelionbank/parse-objects";
import type {
  RegisteredAgent,
  TakeOverEvent,
} from "@dandelionbank/take-over-keys";
import type {
  AgentRegistration,
  ObjectChange,
  StoredObject,
} from "@dandelionbank/types";
import type { WatchEvent } from "@dandelionbank/watch-objects";

export function toTakeOverEvents(event: WatchEvent): readonly TakeOverEvent[] {
  switch (event.type) {
    case "listed": {
      const { revision, items } = event.list;
      const agents = readSightings(items);
      return [{ type: "viewReset", revision, agents }];
    }
    case "changed":
      return [...changeEvents(event.change)];
    case "bookmark":
      return [{ type: "revisionReached", revision: event.revision }];
    case "unreachable":
      return [];
  }
}

/** The agents among stored objects; a malformed one tells nothing. */
export function readSightings(
  items: readonly StoredObject[],
): readonly RegisteredAgent[] {
  return items.flatMap((object) => readSighting(object) ?? []);
}

function changeEvents(change: ObjectChange): readonly TakeOverEvent[] {
  const { revision } = change.type === "put" ? change.object : change;
  const reached: TakeOverEvent = { type: "revisionReached", revision };
  if (change.type === "delete") {
    if (change.kind !== "agent") return [reached];
    return [{ type: "agentRemoved", target: change.name, revision }, reached];
  }
  const agent = readSighting(change.object);
  if (agent === undefined) return [reached];
  return [{ type: "agentChanged", agent, revision }, reached];
}

function readSighting(object: StoredObject): RegisteredAgent | undefined {
  if (object.kind !== "agent") return undefined;
  const parsed = parseValue("agent", object.value);
  if (parsed.kind === "invalid") return undefined;
  const { target, incarnation } = parsed.value as AgentRegistration;
  return { target: target.name, pool: target.pool, incarnation };
}
