/**
 * The platform's objects at one revision. The revision never decreases, and a
 * change that is older than the known state of its object is never applied. The
 * most recent deletions are kept, so that a delta can be created for peers that
 * are not too far behind.
 */

import type {
  ObjectChange,
  ObjectKind,
  StoredObject,
  ViewDelta,
} from "@dandelionbank/types";

const MAX_KEPT_DELETIONS = 512;

type Deletion = Extract<ObjectChange, { type: "delete" }>;

export class ObjectTable {
  readonly #objects = new Map<string, StoredObject>();
  readonly #deletions = new Map<string, Deletion>();
  /**
   * Lowest revision for which a delta contains all deletions. A complete list
   * does not show objects that were created and deleted since an earlier one.
   */
  #deletionsSinceRevision = 0;
  #revision = 0;

  static create(): ObjectTable {
    return new ObjectTable();
  }

  get revision(): number {
    return this.#revision;
  }

  get(kind: ObjectKind, name: string): StoredObject | undefined {
    return this.#objects.get(getObjectKey(kind, name));
  }

  list(): Iterable<StoredObject> {
    return this.#objects.values();
  }

  /** Returns the delta from revision `since` to the current one. */
  createDeltaSince(since: number): ViewDelta {
    const isComplete = since < this.#deletionsSinceRevision || since === 0;
    const sinceRevision = isComplete ? 0 : since;
    const puts: ObjectChange[] = [...this.#objects.values()]
      .filter((object) => object.revision > sinceRevision)
      .map((object) => ({ type: "put", object }));
    const deletions = isComplete ? [] : [...this.#deletions.values()]
      .filter((deletion) => deletion.revision > sinceRevision);
    return {
      since: isComplete ? undefined : since,
      revision: this.#revision,
      changes: [...puts, ...deletions],
    };
  }

  /**
   * Applies a delta and returns the changes that were new, or `undefined` if
   * changes between the known revision and the delta are missing. The deletion of
   * an unknown object counts as new too, since peers may have the object.
   */
  apply(delta: ViewDelta): readonly ObjectChange[] | undefined {
    if (delta.revision <= this.#revision) return [];
    if (delta.since !== undefined && delta.since > this.#revision) {
      return undefined;
    }
    const changes = delta.since === undefined
      ? [...this.#createMissingDeletions(delta), ...delta.changes]
      : delta.changes;
    const applied = changes.filter((change) => this.#applyChange(change));
    this.#revision = delta.revision;
    if (delta.since === undefined) {
      this.#deletionsSinceRevision = delta.revision;
    }
    return applied;
  }

  /** Creates deletions for the known objects that a complete list lacks. */
  #createMissingDeletions(completeList: ViewDelta): readonly Deletion[] {
    const listed = new Set(
      completeList.changes.map((change) =>
        change.type === "put"
          ? getObjectKey(change.object.kind, change.object.name)
          : ""
      ),
    );
    return [...this.#objects]
      .filter(([key]) => !listed.has(key))
      .map(([, { kind, name, uid }]) => ({
        type: "delete",
        kind,
        name,
        uid,
        revision: completeList.revision,
      }));
  }

  #applyChange(change: ObjectChange): boolean {
    const { kind, name, revision } = change.type === "put"
      ? change.object
      : change;
    const key = getObjectKey(kind, name);
    const knownRevision = this.#objects.get(key)?.revision ??
      this.#deletions.get(key)?.revision ?? 0;
    if (revision <= knownRevision) return false;
    if (change.type === "put") {
      this.#objects.set(key, change.object);
      this.#deletions.delete(key);
      return true;
    }
    this.#deletions.delete(key);
    this.#deletions.set(key, change);
    this.#objects.delete(key);
    this.#evictOldDeletions();
    return true;
  }

  #evictOldDeletions(): void {
    while (this.#deletions.size > MAX_KEPT_DELETIONS) {
      const [key, oldest] = this.#deletions.entries().next().value!;
      this.#deletions.delete(key);
      this.#deletionsSinceRevision = Math.max(
        this.#deletionsSinceRevision,
        oldest.revision,
      );
    }
  }
}

function getObjectKey(kind: ObjectKind, name: string): string {
  return `${kind}/${name}`;
}
