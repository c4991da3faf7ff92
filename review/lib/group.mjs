/**
 * Stand-in for a group of ranks, as `PROTOCOL.md` tells it: passes that all ranks
 * begin together, maps that are prepared, armed and held, and the calls
 * `/-/report`, `/-/picked` and `/-/order` of each rank at its own address.
 */

import { once } from "node:events";
import { createServer } from "node:http";
import { chooseAddress, findFreePort } from "./site.mjs";

const PASS_MS = 40;
/** How long a rank copies the experts of a map. */
const COPY_MS = 150;

export class Group {
  size;
  sets;
  experts;
  step = 0;
  epoch = 1;
  ranks = [];
  /** Called with each order and its result. */
  onOrder = () => {};
  /** Returns true if an order gets no answer; it may call `apply` later. */
  intercept = (_rank, _order, _apply) => false;
  /** Called when a pass begins while ranks have different maps. */
  onMixedPass = () => {};
  /** Index of the experts that most requests choose. */
  hot = 0;
  #servers = [];
  #timer;
  /** True if the next pass is due and held. */
  #isWaiting = false;

  static async start({ size, sets, experts }) {
    const group = new Group();
    Object.assign(group, { size, sets, experts });
    for (let rank = 0; rank < size; rank++) {
      const ip = chooseAddress();
      const port = await findFreePort(ip);
      const server = createServer((request, response) => {
        group.#handle(rank, request, response)
          .catch(() => response.destroy());
      });
      server.keepAliveTimeout = 60_000;
      server.listen(port, ip);
      await once(server, "listening");
      group.#servers.push(server);
      group.ranks.push({
        rank,
        ip,
        address: `${ip}:${port}`,
        mapVersion: 0,
        map: createFirstMap({ size, sets, experts }),
        highest: 0,
        prepared: undefined,
        armed: undefined,
        held: undefined,
      });
    }
    group.counts = Array(sets * experts).fill(0);
    group.#timer = setInterval(() => group.#runPass(), PASS_MS);
    return group;
  }

  close() {
    clearInterval(this.#timer);
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  get isHeld() {
    return this.ranks.some(({ held }) => held === this.step + 1);
  }

  describeMaps() {
    return this.ranks.map(({ mapVersion }) => mapVersion).join(",");
  }

  /** Begins the next pass, or leaves it waiting while a rank holds it. */
  #runPass() {
    this.#isWaiting = this.isHeld;
    if (this.#isWaiting) return;
    this.step += 1;
    for (const rank of this.ranks) {
      if (rank.armed?.step !== this.step) continue;
      rank.mapVersion = rank.armed.version;
      rank.map = rank.armed.mapping;
      rank.armed = undefined;
    }
    const versions = new Set(this.ranks.map(({ mapVersion }) => mapVersion));
    if (versions.size > 1) this.onMixedPass(this.step);
    for (let index = 0; index < this.counts.length; index++) {
      const isHot = index % this.experts === this.hot;
      this.counts[index] += isHot ? 60 : 1;
    }
  }

  /** Lets a rank's machine stand still: its calls wait until it wakes. */
  freeze(index) {
    let wake;
    const woken = new Promise((resolve) => wake = resolve);
    this.ranks[index].frozen = { woken, wake, waiting: 0 };
  }

  /** Number of calls that wait for a frozen rank. */
  countWaiting(index) {
    return this.ranks[index].frozen?.waiting ?? 0;
  }

  wake(index) {
    this.ranks[index].frozen?.wake();
    this.ranks[index].frozen = undefined;
  }

  async #handle(index, request, response) {
    const rank = this.ranks[index];
    if (rank.frozen !== undefined) {
      const { frozen } = rank;
      frozen.waiting += 1;
      response.on("close", () => frozen.waiting -= 1);
      await frozen.woken;
      if (response.destroyed) return;
    }
    const { pathname, searchParams } = new URL(request.url, "http://rank");
    if (pathname === "/-/report") {
      return reply(response, 200, this.#report(rank));
    }
    if (pathname === "/-/picked") {
      if (!searchParams.has("lists")) {
        const { step, epoch, counts } = this;
        return reply(response, 200, { step, epoch, counts });
      }
      return reply(response, 200, {
        step: this.step,
        epoch: this.epoch,
        mapping: {
          version: rank.mapVersion,
          experts: rank.map.map((set) => set[index]),
        },
      });
    }
    let text = "";
    for await (const chunk of request) text += String(chunk);
    const order = JSON.parse(text);
    const applyLate = () => {
      const late = this.#apply(rank, order);
      this.onOrder({ rank: index, order, status: `late ${late}` });
    };
    if (this.intercept(index, order, applyLate)) return;
    const status = this.#apply(rank, order);
    this.onOrder({ rank: index, order, status });
    reply(response, status, {});
  }

  #report(rank) {
    return {
      phase: "combined",
      group: {
        name: "g0",
        epoch: this.epoch,
        rank: rank.rank,
        state: "open",
      },
      size: this.size,
      step: this.step,
      mapping: rank.mapVersion,
      preloaded: rank.prepared?.isCopied ? rank.prepared.version : null,
      enabled: rank.armed?.version ?? null,
      held: rank.held ?? null,
      pace: 1,
    };
  }

  #apply(rank, { operation, version, step, epoch, mapping }) {
    if (epoch !== undefined && epoch !== this.epoch) return 409;
    switch (operation) {
      case "prepare": {
        if (rank.prepared?.version === version) return 200;
        if (version <= rank.highest || rank.armed !== undefined) return 409;
        rank.highest = version;
        const prepared = { version, mapping, isCopied: false };
        rank.prepared = prepared;
        setTimeout(() => prepared.isCopied = true, COPY_MS);
        return 202;
      }
      case "arm": {
        const { armed, prepared } = rank;
        if (armed?.version === version && armed.step === step) return 200;
        if (prepared?.version !== version || !prepared.isCopied) return 409;
        if (step <= this.step || armed !== undefined) return 409;
        rank.armed = { version, step, mapping: prepared.mapping };
        return 202;
      }
      case "retention":
        if (rank.held === step) return 200;
        if (step <= this.step || rank.held !== undefined) return 409;
        rank.held = step;
        return 202;
      case "go":
        if (rank.held === step) rank.held = undefined;
        if (this.#isWaiting) this.#runPass();
        return 200;
      case "disarm":
        if (rank.mapVersion === version) return 409;
        if (rank.armed?.version === version) rank.armed = undefined;
        return 200;
      default:
        return 400;
    }
  }
}

/** Map 0 assigns experts in turn. */
function createFirstMap({ size, sets, experts }) {
  const set = Array.from(
    { length: size },
    (_, rank) =>
      Array.from({ length: experts }, (_, expert) => expert)
        .filter((expert) => expert % size === rank),
  );
  return Array.from({ length: sets }, () => set);
}

function reply(response, status, value) {
  const text = JSON.stringify(value);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": text.length,
  });
  response.end(text);
}
