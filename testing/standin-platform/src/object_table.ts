/** The stand-in's objects under one revision, with the changes a watch resumes from. */

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

  /** The state of now, for reading. */
  createSnapshot(): ObjectTable {
    const copy = new ObjectTable(() => {});
    for (const [id, object] of this.#objects) copy.#objects.set(id, object);
    copy.#revision = this.#revision;
    return copy;
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

  /** The store's revision after the deletion. */
  delete(id: ObjectId): number {
    this.#revision += 1;
    const { kind, name } = id;
    const uid = this.get(id)?.uid ?? "";
    const revision = this.#revision;
    this.#objects.delete(toKey(id));
    this.#record({ type: "delete", kind, name, uid, revision });
    return revision;
  }

  /** The changes after a revision, or `undefined` if they are no longer kept. */
  listChangesSince(
    revision: number,
    historyLimit: number,
  ): readonly ObjectChange[] | undefined {
    this.#history = this.#history.slice(-historyLimit);
    const oldest = this.#revision - this.#history.length;
    if (revision < oldest || revision > this.#revision) return undefined;
    return this.#history.slice(revision - oldest);
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
