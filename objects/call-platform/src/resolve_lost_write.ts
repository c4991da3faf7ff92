/**
 * Determines the outcome of a write whose answer was lost, from the object as it
 * was read back. The read may be stale and the write may still be in flight, so
 * an unchanged object proves nothing, and the write is sent again under the same
 * change id.
 */

import type { StoredObject, WriteOptions } from "@dandelionbank/types";

export type WriteResolution =
  | { readonly kind: "written"; readonly object: StoredObject }
  /** The write's condition may still hold, so it can be sent again. */
  | { readonly kind: "sendAgain" }
  /** Another write is current; this one may have taken effect before it. */
  | { readonly kind: "unsettled" };

export function resolveLostWrite(
  current: StoredObject | undefined,
  options: WriteOptions,
): WriteResolution {
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
