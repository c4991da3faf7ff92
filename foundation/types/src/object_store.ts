/** The platform's object API, as the product uses it. */

import type { ObjectKind, ObjectList, StoredObject } from "./stored_object.ts";

/** A conditional write either took effect or met another's. */
export type WriteResult =
  | { readonly kind: "written"; readonly object: StoredObject }
  | { readonly kind: "conflict"; readonly current: StoredObject | undefined };

export type DeleteResult =
  | { readonly kind: "deleted"; readonly revision: number }
  | { readonly kind: "conflict"; readonly current: StoredObject | undefined };

export interface WriteOptions {
  /** The revision that was read, or `undefined` to make a new object. */
  readonly expectedRevision: number | undefined;
  /** Tells this write from any other; the same for its retries. */
  readonly changeId: string;
}

/**
 * Conditional access to the platform's objects. Each method throws a
 * `DandelionError`: `DANDELIONBANK_PLATFORM_UNREACHABLE` when nothing can have
 * taken effect or been read, `DANDELIONBANK_WRITE_UNSETTLED` when a write's
 * answer was lost and could not be settled by reading back its change id, and
 * `DANDELIONBANK_PLATFORM_RATE_LIMITED` beyond the platform's rate.
 */
export interface ObjectStore {
  list(kind?: ObjectKind): Promise<ObjectList>;
  get(kind: ObjectKind, name: string): Promise<StoredObject | undefined>;
  put(
    target: { readonly kind: ObjectKind; readonly name: string },
    value: unknown,
    options: WriteOptions,
  ): Promise<WriteResult>;
  delete(
    target: { readonly kind: ObjectKind; readonly name: string },
    expectedRevision: number,
  ): Promise<DeleteResult>;
}
