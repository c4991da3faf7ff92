/**
 * Stand-in for the platform's store, as PROTOCOL.md describes it: objects by kind
 * and name, one revision counter, lists, watches and conditional writes.
 */

import { createServer } from "node:http";

const PREFIX = "/-/objects/";
const MAX_WAIT_MS = 30_000;

export class Store {
  #objects = new Map();
  #history = [];
  #revision = 1;
  #watchers = new Set();
  #era = 1;
  #isAway = false;
  #server = createServer((request, response) => this.#read(request, response));

  static async create() {
    const store = new Store();
    await new Promise((resolve) =>
      store.#server.listen(0, "127.0.0.1", resolve)
    );
    return store;
  }

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  get(kind, name) {
    return this.#objects.get(`${kind}/${name}`)?.spec;
  }

  put(kind, name, spec) {
    const current = this.#objects.get(`${kind}/${name}`);
    const isSame = current !== undefined &&
      JSON.stringify(current.spec) === JSON.stringify(spec);
    return isSame ? current : this.#write({ kind, name, spec }, false);
  }

  remove(kind, name) {
    const current = this.#objects.get(`${kind}/${name}`);
    if (current !== undefined) this.#write(current, true);
  }

  /** Cuts the watches that wait: their connections end without an answer. */
  cutWatches() {
    for (const watcher of [...this.#watchers]) watcher.cut();
  }

  createCopy() {
    return {
      objects: new Map(this.#objects),
      history: [...this.#history],
      revision: this.#revision,
    };
  }

  /** From now on, calls get no answer, and those that wait are cut. */
  goAway() {
    this.#isAway = true;
    this.#server.closeAllConnections();
  }

  /** Comes back from an older copy, in a new era. */
  comeBack({ objects, history, revision }) {
    this.#objects = new Map(objects);
    this.#history = [...history];
    this.#revision = revision;
    this.#era += 1;
    this.#isAway = false;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #write({ kind, name, spec }, deleted) {
    this.#revision += 1;
    const object = { kind, name, spec, revision: this.#revision, deleted };
    const key = `${kind}/${name}`;
    if (deleted) this.#objects.delete(key);
    else this.#objects.set(key, object);
    this.#history.push(object);
    for (const watcher of [...this.#watchers]) {
      if (watcher.kind === kind) watcher.answer();
    }
    return object;
  }

  #read(request, response) {
    const chunks = [];
    request.on("error", () => undefined);
    response.on("error", () => undefined);
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => {
      const text = Buffer.concat(chunks).toString("utf8");
      this.#handle(request, response, text === "" ? {} : JSON.parse(text));
    });
  }

  #handle(request, response, body) {
    if (this.#isAway) return request.socket.destroy();
    const reply = (to, status, value) => send(to, status, value, this.#era);
    const url = new URL(request.url, "http://store");
    const [kind, name] = url.pathname.slice(PREFIX.length).split("/")
      .map(decodeURIComponent);
    const current = this.#objects.get(`${kind}/${name}`);
    const condition = body.metadata?.revision ??
      (url.searchParams.has("revision")
        ? Number(url.searchParams.get("revision"))
        : undefined);
    const isStale = condition !== undefined && current !== undefined &&
      condition !== current.revision;
    switch (request.method) {
      case "GET":
        if (name !== undefined) {
          return current === undefined
            ? reply(response, 404, {})
            : reply(response, 200, render(current));
        }
        return url.searchParams.has("watch")
          ? this.#watch(response, kind, url.searchParams)
          : this.#list(response, kind, url.searchParams.get("after") ?? "");
      case "POST": {
        const created = body.metadata.name;
        const existing = this.#objects.get(`${kind}/${created}`);
        if (existing !== undefined) {
          return reply(response, 409, render(existing));
        }
        const fields = { kind, name: created, spec: body.spec };
        return reply(response, 200, render(this.#write(fields, false)));
      }
      case "PUT":
        if (current === undefined) return reply(response, 404, {});
        if (isStale) return reply(response, 409, render(current));
        return reply(response, 200, render(this.put(kind, name, body.spec)));
      case "DELETE":
        if (current === undefined) return reply(response, 404, {});
        if (isStale) return reply(response, 409, render(current));
        this.remove(kind, name);
        return reply(response, 200, render(current));
      default:
        return reply(response, 405, {});
    }
  }

  #list(response, kind, after) {
    const entries = [...this.#objects.values()]
      .filter((object) => object.kind === kind && object.name > after)
      .sort((left, right) => (left.name < right.name ? -1 : 1))
      .map(render);
    const value = { entries, "has_more": false, at: this.#revision };
    send(response, 200, value, this.#era);
  }

  #watch(response, kind, query) {
    const from = Number(query.get("watch"));
    if (from > this.#revision) return send(response, 410, {}, this.#era);
    const waitMs = Math.min(Number(query.get("wait_ms") ?? 0), MAX_WAIT_MS);
    const listEvents = () =>
      this.#history
        .filter((object) => object.kind === kind && object.revision > from)
        .map((object) => ({
          deleted: object.deleted,
          object: render(object),
        }));
    const watcher = {
      kind,
      cut: () => response.socket?.destroy(),
      answer: () => {
        this.#watchers.delete(watcher);
        clearTimeout(timer);
        const events = listEvents();
        send(response, 200, { events, at: this.#revision }, this.#era);
      },
    };
    const timer = setTimeout(watcher.answer, waitMs);
    response.on("close", () => {
      clearTimeout(timer);
      this.#watchers.delete(watcher);
    });
    this.#watchers.add(watcher);
    if (listEvents().length > 0) watcher.answer();
  }
}

function render({ name, revision, spec }) {
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

function send(response, status, value, era) {
  const text = JSON.stringify(value);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    "store-era": String(era),
  });
  response.end(text);
}
