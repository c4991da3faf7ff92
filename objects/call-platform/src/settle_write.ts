/**
 * Tells what became of a write whose answer was lost, from the object as it
 * was read back. The read may show an older state, and the write may still be
 * under way; so an unchanged object proves nothing, and the write is sent
 * again under its change id.
 */

import type { StoredObject, WriteOptions } from "@dandelionbank/types";

export type Settlement =
  | { readonly kind: "written"; readonly object: StoredObject }
  /** The write's condition may still be met: send it again. */
  | { readonly kind: "sendAgain" }
  /** Another's write is in force; ours may have been before it. */
  | { readonly kind: "unsettled" };

export function settleWrite(
  current: StoredObject | undefined,
  options: WriteOptions,
): Settlement {
  const { expectedRevision, changeId } = options;
  if (current?.changeId === changeId) {
    return { kind: "written", object: current };
  }
  if (current === undefined) {
    return { kind: expectedRevision === undefined ? "sendAgain" : "unsettled" };
  }
  const isUnchanged = expectedRevision !== undefined &&
    current.revision <= expectedRevision;
  return { kind: isUnchanged ? "sendAgain" : "unsettled" };
}
