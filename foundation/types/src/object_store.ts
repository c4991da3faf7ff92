/** The part of the platform's object API that the product uses. */

import type { ObjectKind, ObjectList, StoredObject } from "./stored_object.ts";

/** A conditional write either took effect or conflicted with another write. */
export type WriteResult =
  | { readonly kind: "written"; readonly object: StoredObject }
  | { readonly kind: "conflict"; readonly current: StoredObject | undefined };

export type DeleteResult =
  | { readonly kind: "deleted"; readonly revision: number }
  | { readonly kind: "conflict"; readonly current: StoredObject | undefined };

export interface WriteOptions {
  /** The revision that was read, or `undefined` to create an object. */
  readonly expectedRevision: number | undefined;
  /** Identifies this write; its retries use the same id. */
  readonly changeId: string;
}

/**
 * Conditional access to the platform's objects. Each method throws a
 * `DandelionError`: `DANDELIONBANK_PLATFORM_UNREACHABLE` if certainly nothing was
 * read or written, `DANDELIONBANK_WRITE_UNSETTLED` if the answer to a write was
 * lost and reading back its change id did not settle whether it took effect, and
 * `DANDELIONBANK_PLATFORM_RATE_LIMITED` if the platform's rate limit was exceeded.
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
