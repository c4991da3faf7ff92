/** State of a view, and the effects of applying a watch event to it. */

import type { ObjectKind, StoredObject, View } from "@dandelionbank/types";

export type ParsedObject =
  | { readonly kind: "ok"; readonly value: unknown }
  | {
    readonly kind: "invalid";
    readonly problems: readonly string[];
    /** Value that takes effect in place of an invalid one without a predecessor. */
    readonly substitute?: unknown;
  };

/** Validates an object's value, and that its name matches the value. */
export type ParseObject = (object: StoredObject) => ParsedObject;

export interface ViewState {
  readonly parseObject: ParseObject;
  /** Undefined before the first list. */
  readonly view: View | undefined;
}

export type ViewEffect =
  | { readonly type: "viewChanged"; readonly view: View }
  /** The view is current as of a newer revision; no object in it changed. */
  | { readonly type: "viewConfirmed"; readonly view: View }
  /** An invalid object was not applied; the last valid value of its uid stays. */
  | {
    readonly type: "objectRefused";
    readonly kind: ObjectKind;
    readonly name: string;
    readonly revision: number;
    readonly problems: readonly string[];
  }
  /** The event was older than the view and was ignored. */
  | {
    readonly type: "olderStateIgnored";
    readonly revision: number;
    readonly viewRevision: number;
  }
  | { readonly type: "platformUnreachable"; readonly error: Error };

export function createViewState(parseObject: ParseObject): ViewState {
  return { parseObject, view: undefined };
}
