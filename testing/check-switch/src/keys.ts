/** Numbers that stand for what happens to a part of the group. */

import type { Interner } from "./interner.ts";
import type { Sent } from "./rank_node.ts";

/** Keys of what is no message; a message's key is its number. */
export const ADVANCE = -1;
export const TICK = -2;

/** More than there are keys for one state of a part. */
export const KEYS_PER_STATE = 1_000_000;

/** Answers to agents that have ended go nowhere. */
export function internAll(
  messages: Interner<Sent>,
  sent: readonly Sent[],
): readonly number[] {
  return sent
    .filter(({ to }) =>
      to.kind === "coordinator" || to.formerIncarnation === undefined
    )
    .map(({ to, message }) => messages.intern({ to, message }));
}
