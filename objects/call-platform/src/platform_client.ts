/**
 * Client of the platform's object API. Every answer is validated by a schema, and
 * a write whose answer is lost is retried until its outcome is known.
 */

import {
  parseObjectList,
  parseStoredObject,
  parseVmList,
} from "@dandelionbank/parse-answers";
import type {
  DeleteResult,
  ObjectKind,
  ObjectList,
  ObjectStore,
  StoredObject,
  VmListing,
  WriteOptions,
  WriteResult,
} from "@dandelionbank/types";
import type { CallCounts } from "./call_counter.ts";
import { deleteObject } from "./delete_object.ts";
import {
  openWatch,
  type WatchHandle,
  type WatchOptions,
} from "./open_watch.ts";
import {
  PlatformCaller,
  type PlatformCallerOptions,
} from "./platform_caller.ts";
import { readAnswer } from "./read_answer.ts";
import { writeObject } from "./write_object.ts";

export type PlatformClientOptions = PlatformCallerOptions;

interface ObjectId {
  readonly kind: ObjectKind;
  readonly name: string;
}

export class PlatformClient implements ObjectStore {
  readonly #caller: PlatformCaller;

  static create(options: PlatformClientOptions): PlatformClient {
    return new PlatformClient(PlatformCaller.create(options));
  }

  private constructor(caller: PlatformCaller) {
    this.#caller = caller;
  }

  list(kind?: ObjectKind): Promise<ObjectList> {
    return readAnswer(this.#caller, {
      path: kind === undefined ? "/v1/objects" : `/v1/objects/${kind}`,
      step: `list ${kind ?? "objects"}`,
      countedAs: "reads",
      parse: parseObjectList,
    });
  }

  get(kind: ObjectKind, name: string): Promise<StoredObject | undefined> {
    return readAnswer<StoredObject | undefined>(this.#caller, {
      path: createObjectPath({ kind, name }),
      step: `read ${kind}/${name}`,
      countedAs: "reads",
      parse: parseStoredObject,
      onNotFound: () => undefined,
    });
  }

  put(
    target: ObjectId,
    value: unknown,
    options: WriteOptions,
  ): Promise<WriteResult> {
    const { kind, name } = target;
    return writeObject({
      ...options,
      path: createObjectPath(target),
      value,
      step: `write ${kind}/${name}`,
    }, { caller: this.#caller, readBack: () => this.get(kind, name) });
  }

  delete(target: ObjectId, expectedRevision: number): Promise<DeleteResult> {
    const { kind, name } = target;
    return deleteObject({
      path: createObjectPath(target),
      name,
      expectedRevision,
      step: `delete ${kind}/${name}`,
    }, { caller: this.#caller, listKind: () => this.list(kind) });
  }

  listVms(): Promise<readonly VmListing[]> {
    return readAnswer(this.#caller, {
      path: "/v1/vms",
      step: "list virtual machines",
      countedAs: "vmLists",
      parse: parseVmList,
    });
  }

  /** Opens a watch of the objects of all kinds. */
  openWatch(options: WatchOptions): WatchHandle {
    return openWatch(this.#caller, options);
  }

  /** Returns the numbers of calls made so far. */
  countCalls(): CallCounts {
    return this.#caller.counter.counts;
  }

  async close(): Promise<void> {
    await this.#caller.close();
  }
}

function createObjectPath({ kind, name }: ObjectId): string {
  return `/v1/objects/${kind}/${encodeURIComponent(name)}`;
}
