/**
 * Stand-in for a group of ranks on the users' platform, over HTTP. Each rank listens on its own loopback
 * address, as if it ran on its own VM. A timer drives the passes.
 */

import { GroupModel, type OrderDelivery } from "@dandelionbank/group-model";
import type { GroupOrder } from "@dandelionbank/types";
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

const PASS_INTERVAL_MS = 30;
/** Delay of an order that is delivered late. */
const ORDER_DELAY_MS = 400;

export interface SiteGroupOptions {
  readonly ranks: number;
  readonly sets: number;
  readonly expertsPerSet: number;
  readonly name?: string;
  /** Last number of the address of rank 0; those of further ranks follow. */
  readonly firstHost?: number;
}

const DEFAULT_NAME = "g";
const DEFAULT_FIRST_HOST = 11;

export class SiteGroup {
  readonly model: GroupModel;
  readonly #options: SiteGroupOptions;
  readonly #servers: readonly Server[];
  readonly #counts: number[];
  #maps = new Map<number, readonly (readonly (readonly number[])[])[]>();
  #timer: NodeJS.Timeout | undefined;
  /** Index, within each set, of the expert that is chosen most often. */
  hotExpert = 0;
  /** Decides how an order is delivered; a test replaces it to inject faults. */
  chooseDelivery: (order: GroupOrder) => OrderDelivery = () => "answered";

  private constructor(options: SiteGroupOptions) {
    this.#options = options;
    this.model = new GroupModel(options.ranks);
    this.#counts = Array<number>(options.sets * options.expertsPerSet).fill(0);
    this.#servers = Array.from(
      { length: options.ranks },
      (_, rank) =>
        createServer((request, response) =>
          void this.#handle(rank, request, response)
        ),
    );
  }

  static async create(options: SiteGroupOptions): Promise<SiteGroup> {
    const group = new SiteGroup(options);
    await Promise.all(group.#servers.map(async (server, rank) => {
      server.listen(0, group.host(rank));
      await once(server, "listening");
    }));
    group.#timer = setInterval(() => group.#runPass(), PASS_INTERVAL_MS);
    return group;
  }

  host(rank: number): string {
    const { firstHost = DEFAULT_FIRST_HOST } = this.#options;
    return `127.0.0.${firstHost + rank}`;
  }

  address(rank: number): string {
    const { port } = this.#servers[rank]!.address() as AddressInfo;
    return `${this.host(rank)}:${port}`;
  }

  async close(): Promise<void> {
    clearInterval(this.#timer);
    await Promise.all(this.#servers.map(async (server) => {
      server.close();
      server.closeAllConnections();
      await once(server, "close");
    }));
  }

  #runPass(): void {
    this.model.applyDelayedOrders(performance.now());
    this.model.beginPass();
    const { sets, expertsPerSet } = this.#options;
    for (let index = 0; index < sets * expertsPerSet; index++) {
      const isHot = index % expertsPerSet === this.hotExpert;
      this.#counts[index]! += isHot ? 60 : 1;
    }
  }

  async #handle(
    rank: number,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { pathname, searchParams } = new URL(request.url ?? "/", "http://r");
    if (pathname === "/-/report") {
      return reply(response, this.#createReport(rank));
    }
    if (pathname === "/-/picked") {
      const wantsMap = searchParams.has("lists");
      return reply(
        response,
        wantsMap ? this.#readMap(rank) : this.#readChoices(),
      );
    }
    let text = "";
    for await (const chunk of request) text += String(chunk);
    this.#handleOrder(rank, response, JSON.parse(text) as WireOrder);
  }

  #createReport(rank: number) {
    const report = this.model.listReports()[rank]!;
    const { name = DEFAULT_NAME } = this.#options;
    return {
      group: { name, epoch: report.epoch, rank, state: "open" },
      size: report.groupSize,
      step: report.step,
      mapping: report.mapVersion,
      preloaded: report.preparedVersion || null,
      enabled: report.armedVersion || null,
      held: report.heldStep ?? null,
      pace: 1,
    };
  }

  #readChoices() {
    const { epoch, step } = this.model;
    return { epoch, step, counts: this.#counts };
  }

  #readMap(rank: number) {
    const { epoch, mapVersion } = this.model;
    const map = this.#maps.get(mapVersion);
    const experts = map?.map((set) => set[rank] ?? []) ?? [];
    return { epoch, mapping: { version: mapVersion, experts } };
  }

  #handleOrder(rank: number, response: ServerResponse, wire: WireOrder): void {
    const order = parseOrder(wire);
    if (order === undefined) return reply(response, {}, 400);
    if (order.kind === "prepare") this.#maps.set(order.version, order.map);
    const delivery = this.chooseDelivery(order);
    const result = this.model.send(
      { rank, order, epoch: wire.epoch ?? this.model.epoch },
      { delivery, nowMs: performance.now(), delayMs: ORDER_DELAY_MS },
    );
    if (delivery !== "answered") return;
    reply(response, {}, result === "done" ? 202 : 409);
  }
}

/** The body of an order; `retention` holds a step and `go` releases it. */
interface WireOrder {
  readonly operation: string;
  readonly version?: number;
  readonly step?: number;
  readonly epoch?: number;
  readonly mapping?: readonly (readonly (readonly number[])[])[];
}

function parseOrder(wire: WireOrder): GroupOrder | undefined {
  const { operation, version = 0, step = 0, mapping = [] } = wire;
  switch (operation) {
    case "prepare":
      return { kind: "prepare", version, map: mapping };
    case "arm":
      return { kind: "arm", version, step };
    case "retention":
      return { kind: "hold", step };
    case "go":
      return { kind: "release", step };
    case "disarm":
      return { kind: "disarm", version };
    default:
      return undefined;
  }
}

function reply(response: ServerResponse, value: unknown, status = 200): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}
