/**
 * The platform's objects at one revision. The revision never goes down, and a
 * change older than what is known of its object is never applied. Deletions
 * are remembered for a while, so that a delta can be made for whoever is not
 * too far behind.
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
   * Deltas from before this revision would lack deletions: a whole list
   * doesn't tell of what was made and deleted since any earlier revision.
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
    return this.#objects.get(keyOf(kind, name));
  }

  list(): Iterable<StoredObject> {
    return this.#objects.values();
  }

  /** What leads from `since` to here. */
  deltaSince(since: number): ViewDelta {
    const isWhole = since < this.#deletionsSinceRevision || since === 0;
    const from = isWhole ? 0 : since;
    const puts: ObjectChange[] = [...this.#objects.values()]
      .filter((object) => object.revision > from)
      .map((object) => ({ type: "put", object }));
    const deletions = isWhole ? [] : [...this.#deletions.values()]
      .filter((deletion) => deletion.revision > from);
    return {
      since: isWhole ? undefined : since,
      revision: this.#revision,
      changes: [...puts, ...deletions],
    };
  }

  /**
   * Applies a delta and returns the changes that were new, or `undefined` if
   * changes between what is known and the delta are missing. The deletion of
   * an object that was never known here is new too: others may know the object.
   */
  apply(delta: ViewDelta): readonly ObjectChange[] | undefined {
    if (delta.revision <= this.#revision) return [];
    if (delta.since !== undefined && delta.since > this.#revision) {
      return undefined;
    }
    const changes = delta.since === undefined
      ? [...this.#deletionsBy(delta), ...delta.changes]
      : delta.changes;
    const applied = changes.filter((change) => this.#applyChange(change));
    this.#revision = delta.revision;
    if (delta.since === undefined) {
      this.#deletionsSinceRevision = delta.revision;
    }
    return applied;
  }

  /** Deletions of what a whole list no longer holds. */
  #deletionsBy(whole: ViewDelta): readonly Deletion[] {
    const listed = new Set(
      whole.changes.map((change) =>
        change.type === "put"
          ? keyOf(change.object.kind, change.object.name)
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
        revision: whole.revision,
      }));
  }

  #applyChange(change: ObjectChange): boolean {
    const { kind, name, revision } = change.type === "put"
      ? change.object
      : change;
    const key = keyOf(kind, name);
    const known = this.#objects.get(key)?.revision ??
      this.#deletions.get(key)?.revision ?? 0;
    if (revision <= known) return false;
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

function keyOf(kind: ObjectKind, name: string): string {
  return `${kind}/${name}`;
}
