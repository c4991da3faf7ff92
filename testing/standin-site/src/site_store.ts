/** Stand-in for the store of the users' platform: paged lists, watches, conditional writes. */

import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { HEADERS } from "@dandelionbank/platform-adapter";
import { encodeJson, JsonText } from "@dandelionbank/standin-common";
import { listenOnLoopback, readLoopbackAddress } from "./listen_on_loopback.ts";

interface StoredObject {
  readonly kind: string;
  readonly name: string;
  readonly revision: number;
  readonly spec: unknown;
  readonly isDeleted: boolean;
}

/** A watch call that waits for a change of its kind. */
interface Watcher {
  readonly kind: string;
  readonly fromRevision: number;
  /** Answers the call; later calls of the function have no effect. */
  readonly answer: () => void;
}

/** A copy of the store's contents, from which it can be restored. */
export interface StoreSnapshot {
  readonly objects: ReadonlyMap<string, StoredObject>;
  readonly history: readonly StoredObject[];
  /** Earliest revision from which a watch finds its history. */
  readonly compactedRevision: number;
  readonly revision: number;
}

/** Whether calls are answered, refused with 503, or left without an answer. */
export type StoreAvailability = "available" | "unavailable" | "unresponsive";

const PREFIX = "/-/objects/";
/** Small, so that lists in tests have several pages. */
const PAGE_SIZE = 3;

export class SiteStore {
  readonly #server: Server;
  readonly #objects = new Map<string, StoredObject>();
  #history: StoredObject[] = [];
  #compactedRevision = 0;
  #revision = 1;
  #era = 1;
  #watchers: Watcher[] = [];
  availability: StoreAvailability = "available";
  answersRemovals = true;
  /** Number of calls received, answered or not. */
  callCount = 0;
  readonly #callsByKind = new Map<string, number>();

  private constructor() {
    this.#server = createServer((request, response) =>
      void this.#handle(request, response)
    );
  }

  static async create(): Promise<SiteStore> {
    const store = new SiteStore();
    await listenOnLoopback(store.#server);
    return store;
  }

  get address(): string {
    return readLoopbackAddress(this.#server);
  }

  get revision(): number {
    return this.#revision;
  }

  /** Returns the object's `spec`, or `undefined` if there is no such object. */
  read(kind: string, name: string): unknown {
    return this.#objects.get(`${kind}/${name}`)?.spec;
  }

  /** Number of calls about objects of a kind while the store was available. */
  countCalls(kind: string): number {
    return this.#callsByKind.get(kind) ?? 0;
  }

  put(kind: string, name: string, spec: unknown): void {
    this.#write({ kind, name, spec, isDeleted: false });
  }

  /** Writes a `spec` whose JSON is sent as it is, also if it is invalid. */
  putText(kind: string, name: string, text: string): void {
    this.put(kind, name, new JsonText(text));
  }

  remove(kind: string, name: string): void {
    this.#write({ kind, name, spec: undefined, isDeleted: true });
  }

  createSnapshot(): StoreSnapshot {
    return {
      objects: new Map(this.#objects),
      history: [...this.#history],
      compactedRevision: this.#compactedRevision,
      revision: this.#revision,
    };
  }

  /**
   * Comes back from an older copy: later changes are lost, their revisions are
   * given out again, and a new era begins. Waiting watches are cut.
   */
  restore(
    { objects, history, compactedRevision, revision }: StoreSnapshot,
  ): void {
    this.#objects.clear();
    for (const [key, object] of objects) this.#objects.set(key, object);
    this.#history = [...history];
    this.#compactedRevision = compactedRevision;
    this.#revision = revision;
    this.#era += 1;
    this.#watchers = [];
    this.#server.closeAllConnections();
  }

  /** Drops all past changes: a watch from an earlier revision is answered 410. */
  compactHistory(): void {
    this.#history = [];
    this.#compactedRevision = this.#revision;
    this.#notifyWatchers(() => true);
  }

  async close(): Promise<void> {
    this.#server.close();
    this.#server.closeAllConnections();
    await once(this.#server, "close");
  }

  #write(fields: Omit<StoredObject, "revision">): StoredObject {
    this.#revision += 1;
    const object = { ...fields, revision: this.#revision };
    const key = `${fields.kind}/${fields.name}`;
    if (fields.isDeleted) this.#objects.delete(key);
    else this.#objects.set(key, object);
    this.#history.push(object);
    this.#notifyWatchers(({ kind }) => kind === fields.kind);
    return object;
  }

  #notifyWatchers(isAffected: (watcher: Watcher) => boolean): void {
    const notified = this.#watchers.filter(isAffected);
    this.#watchers = this.#watchers.filter((watcher) =>
      !notified.includes(watcher)
    );
    for (const { answer } of notified) answer();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.callCount += 1;
    response.setHeader(HEADERS.storeEra, this.#era);
    if (this.availability === "unresponsive") return;
    if (this.availability === "unavailable") return reply(response, 503, {});
    const url = new URL(request.url ?? "/", "http://store");
    const [kind = "", name] = url.pathname.slice(PREFIX.length).split("/");
    this.#callsByKind.set(kind, this.countCalls(kind) + 1);
    const body = await readBody(request);
    switch (request.method) {
      case "POST":
        return this.#create(response, { kind, body });
      case "PUT":
        return this.#replace(response, { kind, name: name ?? "", body });
      case "DELETE":
        if (!this.answersRemovals) return;
        return this.#delete(response, {
          kind,
          name: name ?? "",
          revision: url.searchParams.get("revision"),
        });
      case "GET":
        break;
      default:
        return reply(response, 405, {});
    }
    if (name !== undefined) {
      const object = this.#objects.get(`${kind}/${name}`);
      if (object === undefined) return reply(response, 404, {});
      return reply(response, 200, render(object));
    }
    const watch = url.searchParams.get("watch");
    if (watch === null) {
      const after = url.searchParams.get("after") ?? "";
      return this.#list(response, { kind, after });
    }
    const waitMs = Number(url.searchParams.get("wait_ms"));
    this.#watch(response, { kind, fromRevision: Number(watch), waitMs });
  }

  #list(
    response: ServerResponse,
    { kind, after }: { readonly kind: string; readonly after: string },
  ): void {
    const remaining = [...this.#objects.values()]
      .filter((object) => object.kind === kind && object.name > after)
      .sort((left, right) => left.name < right.name ? -1 : 1);
    reply(response, 200, {
      entries: remaining.slice(0, PAGE_SIZE).map(render),
      "has_more": remaining.length > PAGE_SIZE,
      at: this.#revision,
    });
  }

  #watch(
    response: ServerResponse,
    { kind, fromRevision, waitMs }: {
      readonly kind: string;
      readonly fromRevision: number;
      readonly waitMs: number;
    },
  ): void {
    const isGone = fromRevision < this.#compactedRevision ||
      fromRevision > this.#revision;
    let isAnswered = false;
    const answer = () => {
      if (isAnswered) return;
      isAnswered = true;
      clearTimeout(timer);
      if (this.availability === "unresponsive") return;
      if (isGone) return reply(response, 410, {});
      reply(response, 200, {
        events: this.#listChanges(kind, fromRevision).map((object) => ({
          deleted: object.isDeleted,
          object: render(object),
        })),
        at: this.#revision,
      });
    };
    const timer = setTimeout(answer, waitMs);
    response.on("close", () => clearTimeout(timer));
    const hasAnswer = isGone ||
      this.#listChanges(kind, fromRevision).length > 0;
    if (hasAnswer) return answer();
    this.#watchers.push({ kind, fromRevision, answer });
  }

  #listChanges(kind: string, fromRevision: number): readonly StoredObject[] {
    return this.#history.filter((object) =>
      object.kind === kind && object.revision > fromRevision
    );
  }

  #create(
    response: ServerResponse,
    { kind, body }: { readonly kind: string; readonly body: ObjectBody },
  ): void {
    const name = body.metadata?.name ?? "";
    if (this.#objects.has(`${kind}/${name}`)) {
      return reply(response, 409, {});
    }
    const { spec } = body;
    const written = this.#write({ kind, name, spec, isDeleted: false });
    reply(response, 200, render(written));
  }

  #replace(
    response: ServerResponse,
    { kind, name, body }: {
      readonly kind: string;
      readonly name: string;
      readonly body: ObjectBody;
    },
  ): void {
    const current = this.#objects.get(`${kind}/${name}`);
    if (current === undefined) return reply(response, 404, {});
    const revision = body.metadata?.revision;
    if (revision !== undefined && revision !== current.revision) {
      return reply(response, 409, render(current));
    }
    const { spec } = body;
    const written = this.#write({ kind, name, spec, isDeleted: false });
    reply(response, 200, render(written));
  }

  #delete(
    response: ServerResponse,
    { kind, name, revision }: {
      readonly kind: string;
      readonly name: string;
      readonly revision: string | null;
    },
  ): void {
    const current = this.#objects.get(`${kind}/${name}`);
    if (current === undefined) return reply(response, 404, {});
    if (revision !== null && Number(revision) !== current.revision) {
      return reply(response, 409, render(current));
    }
    this.remove(kind, name);
    reply(response, 200, {});
  }
}

interface ObjectBody {
  readonly metadata?: { readonly name?: string; readonly revision?: number };
  readonly spec?: unknown;
}

function render({ name, revision, spec }: StoredObject) {
  return {
    metadata: {
      name,
      revision,
      created: 1,
      finalizers: [],
      "deletion_pending": false,
    },
    spec,
    status: null,
  };
}

function reply(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  const text = encodeJson(value);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

async function readBody(request: IncomingMessage): Promise<ObjectBody> {
  let text = "";
  for await (const chunk of request) text += String(chunk);
  return text === "" ? {} : JSON.parse(text) as ObjectBody;
}
