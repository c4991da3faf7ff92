/** Objects of the platform's API. */

/** The kinds of objects that dandelionbank stores on the platform. */
export type ObjectKind =
  | "agent"
  | "closing"
  | "config"
  | "contract"
  | "duty"
  | "entry"
  | "group"
  | "operator"
  | "stop";

/** One stored object. */
export interface StoredObject<Value = unknown> {
  readonly kind: ObjectKind;
  readonly name: string;
  /** Differs for each object created, even under a name used before. */
  readonly uid: string;
  /** The store's revision at which the object was last written. */
  readonly revision: number;
  /** Chosen by the writer to distinguish its own write from others. */
  readonly changeId: string;
  readonly value: Value;
}

/** All objects of a kind, or of every kind, at one revision. */
export interface ObjectList {
  readonly items: readonly StoredObject[];
  readonly revision: number;
}

/** One change as delivered by a watch. */
export type ObjectChange =
  | { readonly type: "put"; readonly object: StoredObject }
  | {
    readonly type: "delete";
    readonly kind: ObjectKind;
    readonly name: string;
    readonly uid: string;
    readonly revision: number;
  };

/** A virtual machine in the platform's list, which lags behind the real state. */
export interface VmListing {
  readonly name: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly state: "live" | "leaving";
}
