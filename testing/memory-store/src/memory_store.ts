/** Keeps objects in memory, conditional on revisions as the platform does. */

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
  #failure: InjectedFailure | undefined;

  static create(): MemoryStore {
    return new MemoryStore();
  }

  failNext(failure: InjectedFailure): void {
    this.#failure = failure;
  }

  /** Writes without a condition. */
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
    return this.#call(() => this.#objects.get(keyOf({ kind, name })));
  }

  put(
    target: ObjectName,
    value: unknown,
    { expectedRevision, changeId }: WriteOptions,
  ): Promise<WriteResult> {
    return this.#call(() => {
      const current = this.#objects.get(keyOf(target));
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
      const current = this.#objects.get(keyOf(target));
      if (current?.revision !== expectedRevision) {
        return { kind: "conflict", current };
      }
      this.#objects.delete(keyOf(target));
      this.#revision += 1;
      return { kind: "deleted", revision: this.#revision };
    });
  }

  /** A view of the objects as they are now. */
  readView(): View {
    return {
      revision: this.#revision,
      config: this.#mapOf<Config>("config").values().next().value,
      contracts: this.#mapOf("contract"),
      operators: this.#mapOf("operator"),
      stops: this.#mapOf("stop"),
      agents: this.#mapOf("agent"),
      entries: this.#mapOf("entry"),
      closings: this.#mapOf("closing"),
    };
  }

  #mapOf<Value>(kind: ObjectKind): ReadonlyMap<string, StoredObject<Value>> {
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
    const known = this.#objects.get(keyOf(target));
    this.#revision += 1;
    const revision = this.#revision;
    const uid = known?.uid ?? `uid-${revision}`;
    const object = { ...target, uid, revision, changeId, value };
    this.#objects.set(keyOf(target), object);
    return object;
  }

  async #call<Result>(act: () => Result): Promise<Result> {
    const failure = this.#failure;
    this.#failure = undefined;
    if (failure === undefined) return act();
    if (failure.takesEffect) act();
    return await Promise.reject(createFailure(failure));
  }
}

function keyOf({ kind, name }: ObjectName): string {
  return `${kind}/${name}`;
}

function createFailure({ code }: InjectedFailure): Error {
  return createError("The store in memory was told to fail", {
    code,
    step: "call platform",
    peer: "memory",
    hint: "Look at the platform",
  });
}
