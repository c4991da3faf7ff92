/**
 * A simulated object store of the platform. A read returns all objects, now and
 * then of an older revision than the reader has seen. Watches do not guarantee
 * that each change arrives.
 */

import type {
  ObjectChange,
  StoredObject,
  ViewDelta,
  ViewMessage,
} from "@dandelionbank/types";

export type ConfigMessage =
  | ViewMessage
  | {
    readonly type: "watchStore";
    readonly node: string;
    readonly watching: boolean;
  }
  | { readonly type: "watchedChange"; readonly delta: ViewDelta };

export interface StoreNodeOptions {
  readonly nowMs: () => number;
  readonly post: (to: string, message: ConfigMessage) => void;
  /** Draws whether the next read is answered from an old state. */
  readonly shouldReadStale: () => boolean;
}

export class StoreNode {
  readonly #options: StoreNodeOptions;
  readonly #objects = new Map<string, StoredObject>();
  readonly #watchers = new Set<string>();
  /** Time at which each revision was accepted. */
  readonly #acceptedAtMs: number[] = [0];
  /** A snapshot that is up to five revisions old, for stale reads. */
  #oldState: ViewDelta | undefined;
  isDown = false;

  private constructor(options: StoreNodeOptions) {
    this.#options = options;
  }

  static create(options: StoreNodeOptions): StoreNode {
    return new StoreNode(options);
  }

  get revision(): number {
    return this.#acceptedAtMs.length - 1;
  }

  /** Returns the latest revision that had been accepted at the given time. */
  findRevisionAt(atMs: number): number {
    return this.#acceptedAtMs.findLastIndex((acceptedAtMs) =>
      acceptedAtMs <= atMs
    );
  }

  describeObjects(): string {
    return [...this.#objects.values()]
      .map(({ name, uid, revision }) => `${name} ${uid} ${revision}`)
      .sort()
      .join(", ");
  }

  receive(message: ConfigMessage): void {
    if (this.isDown) return;
    if (message.type !== "watchStore") return;
    if (message.watching) this.#watchers.add(message.node);
    else this.#watchers.delete(message.node);
  }

  /**
   * Returns all objects, now and then from a state that is older than the one
   * the reader knows, or undefined during an outage.
   */
  read(knownRevision: number): ViewDelta | undefined {
    if (this.isDown) return undefined;
    const oldState = this.#options.shouldReadStale()
      ? this.#oldState
      : undefined;
    const isOlder = oldState !== undefined &&
      oldState.revision < knownRevision;
    return isOlder ? oldState : this.#createSnapshot();
  }

  /** Writes or deletes an object; returns false during an outage or if there is nothing to delete. */
  write(name: string, isDelete: boolean): boolean {
    const known = this.#objects.get(name);
    if (this.isDown || (isDelete && known === undefined)) return false;
    if (this.revision % 5 === 0) this.#oldState = this.#createSnapshot();
    const since = this.revision;
    this.#acceptedAtMs.push(this.#options.nowMs());
    const change = isDelete && known !== undefined
      ? this.#remove(known)
      : this.#put(name, known);
    const delta = { since, revision: this.revision, changes: [change] };
    for (const watcher of this.#watchers) {
      this.#options.post(watcher, { type: "watchedChange", delta });
    }
    return true;
  }

  #put(name: string, known: StoredObject | undefined): ObjectChange {
    const { revision } = this;
    const object: StoredObject = {
      kind: "contract",
      name,
      uid: known?.uid ?? `u${revision}`,
      revision,
      changeId: `c${revision}`,
      value: revision,
    };
    this.#objects.set(name, object);
    return { type: "put", object };
  }

  #remove({ kind, name, uid }: StoredObject): ObjectChange {
    this.#objects.delete(name);
    return { type: "delete", kind, name, uid, revision: this.revision };
  }

  #createSnapshot(): ViewDelta {
    const changes: ObjectChange[] = [...this.#objects.values()].map(
      (object) => ({ type: "put", object }),
    );
    return { since: undefined, revision: this.revision, changes };
  }
}
