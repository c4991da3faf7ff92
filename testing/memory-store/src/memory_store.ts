/** An in-memory object store with the platform's conditional writes. */

import { createError } from "@dandelionbank/error";
import type {
  Config,
  DeleteResult,
  ObjectKind,
  ObjectList,
  ObjectStore,
  StoredObject,
  View,
  WriteOptions,
  WriteResult,
} from "@dandelionbank/types";

/** An error that the next call throws. */
export interface InjectedFailure {
  readonly code:
    | "DANDELIONBANK_PLATFORM_UNREACHABLE"
    | "DANDELIONBANK_PLATFORM_RATE_LIMITED"
    | "DANDELIONBANK_WRITE_UNSETTLED";
  /** Whether the call takes effect before it throws. */
  readonly takesEffect: boolean;
}

interface ObjectName {
  readonly kind: ObjectKind;
  readonly name: string;
}

export class MemoryStore implements ObjectStore {
  readonly #objects = new Map<string, StoredObject>();
  #revision = 0;
  #nextFailure: InjectedFailure | undefined;

  static create(): MemoryStore {
    return new MemoryStore();
  }

  /** Makes the next call, whatever it is, throw an error. */
  failNext(failure: InjectedFailure): void {
    this.#nextFailure = failure;
  }

  /** Writes an object without a condition on its revision. */
  seed(target: ObjectName, value: unknown): StoredObject {
    return this.#write(target, { value, changeId: "seed" });
  }

  list(kind?: ObjectKind): Promise<ObjectList> {
    return this.#call(() => {
      const items = [...this.#objects.values()]
        .filter((object) => kind === undefined || object.kind === kind);
      return { items, revision: this.#revision };
    });
  }

  get(kind: ObjectKind, name: string): Promise<StoredObject | undefined> {
    return this.#call(() => this.#objects.get(formatObjectKey({ kind, name })));
  }

  put(
    target: ObjectName,
    value: unknown,
    { expectedRevision, changeId }: WriteOptions,
  ): Promise<WriteResult> {
    return this.#call(() => {
      const current = this.#objects.get(formatObjectKey(target));
      if (current?.revision !== expectedRevision) {
        return { kind: "conflict", current };
      }
      return {
        kind: "written",
        object: this.#write(target, { value, changeId }),
      };
    });
  }

  delete(target: ObjectName, expectedRevision: number): Promise<DeleteResult> {
    return this.#call(() => {
      const current = this.#objects.get(formatObjectKey(target));
      if (current?.revision !== expectedRevision) {
        return { kind: "conflict", current };
      }
      this.#objects.delete(formatObjectKey(target));
      this.#revision += 1;
      return { kind: "deleted", revision: this.#revision };
    });
  }

  /** Returns a view of the current objects. */
  readView(): View {
    return {
      revision: this.#revision,
      config: this.#listByName<Config>("config").values().next().value,
      contracts: this.#listByName("contract"),
      operators: this.#listByName("operator"),
      invalidOperators: new Set(),
      stops: this.#listByName("stop"),
      agents: this.#listByName("agent"),
      entries: this.#listByName("entry"),
      closings: this.#listByName("closing"),
    };
  }

  #listByName<Value>(
    kind: ObjectKind,
  ): ReadonlyMap<string, StoredObject<Value>> {
    const objects = [...this.#objects.values()] as StoredObject<Value>[];
    return new Map(
      objects
        .filter((object) => object.kind === kind)
        .map((object) => [object.name, object]),
    );
  }

  #write(
    target: ObjectName,
    { value, changeId }: { readonly value: unknown; readonly changeId: string },
  ): StoredObject {
    const current = this.#objects.get(formatObjectKey(target));
    this.#revision += 1;
    const revision = this.#revision;
    const uid = current?.uid ?? `uid-${revision}`;
    const object = { ...target, uid, revision, changeId, value };
    this.#objects.set(formatObjectKey(target), object);
    return object;
  }

  async #call<Result>(execute: () => Result): Promise<Result> {
    const failure = this.#nextFailure;
    this.#nextFailure = undefined;
    if (failure === undefined) return execute();
    if (failure.takesEffect) execute();
    return await Promise.reject(createFailure(failure));
  }
}

function formatObjectKey({ kind, name }: ObjectName): string {
  return `${kind}/${name}`;
}

function createFailure({ code }: InjectedFailure): Error {
  return createError("Failure injected into the in-memory store", {
    code,
    step: "call platform",
    peer: "memory",
    hint: "Look at the platform",
  });
}
