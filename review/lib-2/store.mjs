/**
 * Stand-in for the platform's store with its rates: each answer takes some
 * milliseconds, and the time of its bytes on the store's link.
 */

import { createServer } from "node:http";

const ANSWER_MS = 4;
/** 1,000 Mbit/s. */
const BYTES_PER_MS = 125_000;
const PAGE_ENTRIES = 500;
const PREFIX = "/-/objects/";

export class Store {
  #server;
  #objects = new Map();
  #history = [];
  #revision = 1;
  #watches = new Set();
  /** False while each call is answered 503: nothing was done. */
  isAvailable = true;

  static async create() {
    const store = new Store();
    store.#server = createServer((request, response) =>
      void store.#handle(request, response)
    );
    await new Promise((resolve) =>
      store.#server.listen(0, "127.0.0.1", resolve)
    );
    return store;
  }

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  put(kind, name, spec) {
    return this.#write({ kind, name, spec, isDeleted: false });
  }

  remove(kind, name) {
    return this.#write({ kind, name, spec: undefined, isDeleted: true });
  }

  close() {
    this.#server.closeAllConnections();
    return new Promise((resolve) => this.#server.close(resolve));
  }

  #write(fields) {
    this.#revision += 1;
    const object = { ...fields, revision: this.#revision };
    const key = `${object.kind}/${object.name}`;
    if (object.isDeleted) this.#objects.delete(key);
    else this.#objects.set(key, object);
    this.#history.push(object);
    for (const watch of [...this.#watches]) {
      if (watch.kind === object.kind) watch.answer();
    }
    return object;
  }

  async #handle(request, response) {
    let text = "";
    for await (const part of request) text += part;
    if (!this.isAvailable) return this.#reply(response, 503, {});
    const url = new URL(request.url, "http://store");
    const [kind, name] = url.pathname.slice(PREFIX.length).split("/");
    const { metadata, spec } = text === "" ? {} : JSON.parse(text);
    const object = this.#objects.get(`${kind}/${name ?? metadata?.name}`);
    if (request.method === "GET" && name === undefined) {
      const watch = url.searchParams.get("watch");
      if (watch === null) this.#list(response, kind, url.searchParams);
      else this.#watch(response, kind, url.searchParams);
      return;
    }
    if (request.method === "POST") {
      if (object !== undefined) return this.#reply(response, 409, {});
      const written = this.put(kind, metadata.name, spec);
      return this.#reply(response, 200, render(written));
    }
    if (object === undefined) return this.#reply(response, 404, {});
    if (request.method === "GET") {
      return this.#reply(response, 200, render(object));
    }
    const stated = metadata?.revision ?? url.searchParams.get("revision");
    if (
      stated !== null && Number(stated ?? object.revision) !== object.revision
    ) {
      return this.#reply(response, 409, render(object));
    }
    if (request.method === "DELETE") {
      this.remove(kind, name);
      return this.#reply(response, 200, {});
    }
    this.#reply(response, 200, render(this.put(kind, name, spec)));
  }

  #list(response, kind, query) {
    const after = query.get("after") ?? "";
    const rest = [...this.#objects.values()]
      .filter((object) => object.kind === kind && object.name > after)
      .sort((left, right) => left.name < right.name ? -1 : 1);
    this.#reply(response, 200, {
      entries: rest.slice(0, PAGE_ENTRIES).map(render),
      "has_more": rest.length > PAGE_ENTRIES,
      at: this.#revision,
    });
  }

  #watch(response, kind, query) {
    const from = Number(query.get("watch"));
    if (from > this.#revision) return this.#reply(response, 410, {});
    const listEvents = () =>
      this.#history.filter((object) =>
        object.kind === kind && object.revision > from
      );
    const watch = {
      kind,
      answer: () => {
        clearTimeout(timer);
        if (!this.#watches.delete(watch)) return;
        if (!this.isAvailable) return this.#reply(response, 503, {});
        this.#reply(response, 200, {
          events: listEvents().map((object) => ({
            object: render(object),
            deleted: object.isDeleted,
          })),
          at: this.#revision,
        });
      },
    };
    const timer = setTimeout(watch.answer, Number(query.get("wait_ms")));
    response.on("close", () => {
      clearTimeout(timer);
      this.#watches.delete(watch);
    });
    this.#watches.add(watch);
    if (listEvents().length > 0) watch.answer();
  }

  #reply(response, status, value) {
    const bytes = Buffer.from(JSON.stringify(value));
    setTimeout(() => {
      response.writeHead(status, {
        "content-type": "application/json",
        "content-length": bytes.length,
        "store-era": "1",
      });
      response.end(bytes);
    }, ANSWER_MS + bytes.length / BYTES_PER_MS);
  }
}

function render({ name, revision, spec }) {
  const metadata = {
    name,
    revision,
    created: 1,
    finalizers: [],
    "deletion_pending": false,
  };
  return { metadata, spec, status: null };
}
