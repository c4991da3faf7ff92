/** Keys of the events that a node or a coordinator can receive. */

import type { Interner } from "./interner.ts";
import type { SentMessage } from "./rank_node.ts";

/** Keys of events other than messages; a message's key is its id. */
export const ADVANCE = -1;
export const TICK = -2;

/**
 * Exceeds the number of keys, so that the id of a state and a key fit into one
 * number. Keys start at -2, so 2 is added to them there.
 */
export const KEYS_PER_STATE = 1_000_000;

/** Interns the messages; those to former incarnations of an agent are dropped. */
export function internAll(
  messages: Interner<SentMessage>,
  sent: readonly SentMessage[],
): readonly number[] {
  return sent
    .filter(({ to }) =>
      to.kind === "coordinator" || to.formerIncarnation === undefined
    )
    .map(({ to, message }) => messages.intern({ to, message }));
}
