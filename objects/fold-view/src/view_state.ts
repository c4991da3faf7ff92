/** The state of a view, and what a step of it reports. */

import type { ObjectKind, StoredObject, View } from "@dandelionbank/types";

export type ParsedObject =
  | { readonly kind: "ok"; readonly value: unknown }
  | { readonly kind: "invalid"; readonly problems: readonly string[] };

/** Checks an object's value, and that its name fits the value. */
export type ParseObject = (object: StoredObject) => ParsedObject;

export interface ViewState {
  readonly parseObject: ParseObject;
  /** None before the first list. */
  readonly view: View | undefined;
}

export type ViewEffect =
  | { readonly type: "viewChanged"; readonly view: View }
  /** The view is known to show this revision; nothing in it changed. */
  | { readonly type: "viewConfirmed"; readonly view: View }
  /** A malformed object was kept out; the last good value of its uid stays. */
  | {
    readonly type: "objectRefused";
    readonly kind: ObjectKind;
    readonly name: string;
    readonly revision: number;
    readonly problems: readonly string[];
  }
  /** The state shown was older than the view. */
  | {
    readonly type: "olderStateIgnored";
    readonly revision: number;
    readonly viewRevision: number;
  }
  | { readonly type: "platformUnreachable"; readonly error: Error };

export function createViewState(parseObject: ParseObject): ViewState {
  return { parseObject, view: undefined };
}
