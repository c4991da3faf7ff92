/** Stores objects under one revision counter, with a history for resuming watches. */

import type {
  ObjectChange,
  ObjectKind,
  ObjectList,
  StoredObject,
} from "@dandelionbank/types";

export interface ObjectId {
  readonly kind: ObjectKind;
  readonly name: string;
}

export interface ObjectWrite extends ObjectId {
  readonly changeId: string;
  readonly value: unknown;
}

export type ChangeListener = (change: ObjectChange) => void;

export class ObjectTable {
  readonly #onChange: ChangeListener;
  readonly #objects = new Map<string, StoredObject>();
  #history: ObjectChange[] = [];
  #revision = 0;
  #lastUid = 0;

  static create(onChange: ChangeListener): ObjectTable {
    return new ObjectTable(onChange);
  }

  private constructor(onChange: ChangeListener) {
    this.#onChange = onChange;
  }

  get revision(): number {
    return this.#revision;
  }

  /** Copies the current objects and revision, without the history, for reads. */
  createSnapshot(): ObjectTable {
    const snapshot = new ObjectTable(() => {});
    for (const [id, object] of this.#objects) snapshot.#objects.set(id, object);
    snapshot.#revision = this.#revision;
    return snapshot;
  }

  get(id: ObjectId): StoredObject | undefined {
    return this.#objects.get(toKey(id));
  }

  list(kind?: string): ObjectList {
    const items = [...this.#objects.values()]
      .filter((object) => kind === undefined || object.kind === kind);
    return { items, revision: this.#revision };
  }

  put(write: ObjectWrite): StoredObject {
    this.#revision += 1;
    const { kind, name, changeId, value } = write;
    const uid = this.get(write)?.uid ?? this.#nextUid();
    const revision = this.#revision;
    const object = { kind, name, uid, revision, changeId, value };
    this.#objects.set(toKey(write), object);
    this.#record({ type: "put", object });
    return object;
  }

  /** Deletes the object; returns the store's revision after the deletion. */
  delete(id: ObjectId): number {
    this.#revision += 1;
    const { kind, name } = id;
    const uid = this.get(id)?.uid ?? "";
    const revision = this.#revision;
    this.#objects.delete(toKey(id));
    this.#record({ type: "delete", kind, name, uid, revision });
    return revision;
  }

  /**
   * Returns the changes after a revision, or `undefined` if they are no longer in
   * the history or the revision is in the future. Trims the history to its limit.
   */
  listChangesSince(
    revision: number,
    historyLimit: number,
  ): readonly ObjectChange[] | undefined {
    this.#history = this.#history.slice(-historyLimit);
    const oldestRevision = this.#revision - this.#history.length;
    if (revision < oldestRevision || revision > this.#revision) {
      return undefined;
    }
    return this.#history.slice(revision - oldestRevision);
  }

  #record(change: ObjectChange): void {
    this.#history.push(change);
    this.#onChange(change);
  }

  #nextUid(): string {
    this.#lastUid += 1;
    return `uid-${this.#lastUid}`;
  }
}

function toKey(id: ObjectId): string {
  return `${id.kind}/${id.name}`;
}
