/** The platform's stand-in: routes the calls, counts them and limits their rate. */

import {
  type Call,
  parseJson,
  RateLimit,
  refuseForRate,
  type Reply,
  type RunningStandin,
  StandinServer,
} from "@dandelionbank/standin-common";
import type { ObjectKind, StoredObject, VmListing } from "@dandelionbank/types";
import { type ObjectId, ObjectTable } from "./object_table.ts";
import { PLATFORM_SETTINGS, type PlatformSettings } from "./settings.ts";
import { VmList } from "./vm_list.ts";
import { Watchers } from "./watchers.ts";

export interface PlatformOptions {
  readonly listen?: string;
  readonly settings?: Partial<PlatformSettings>;
}

export interface CallCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
  readonly vmLists: number;
  readonly refused: number;
}

/** Starts the stand-in in this process. */
export async function startPlatform(
  options: PlatformOptions = {},
): Promise<StandinPlatform> {
  const platform = new StandinPlatform();
  await platform.start(options);
  return platform;
}

export class StandinPlatform implements RunningStandin {
  readonly objects = ObjectTable.create();
  readonly #vms = VmList.create();
  readonly #watchers = Watchers.create();
  readonly #writeLimit = RateLimit.create();
  readonly #readLimit = RateLimit.create();
  #server!: StandinServer<PlatformSettings>;
  #bookmarks: NodeJS.Timeout | undefined;
  #stale: ObjectTable | undefined;
  #counts = { reads: 0, writes: 0, watches: 0, vmLists: 0, refused: 0 };

  async start(options: PlatformOptions): Promise<void> {
    this.#server = await StandinServer.start({
      ...(options.listen === undefined ? {} : { listen: options.listen }),
      settings: { ...PLATFORM_SETTINGS, ...options.settings },
      handle: (call, reply) => this.#handle(call, reply),
      handleAdmin: (call, reply) => this.#handleAdmin(call, reply),
      onSettings: (settings) => this.#applySettings(settings),
    });
    this.#applySettings(this.#server.settings);
  }

  get listening(): string {
    return this.#server.url;
  }

  get counts(): CallCounts {
    return { ...this.#counts };
  }

  change(settings: Partial<PlatformSettings>): void {
    this.#server.change(settings);
  }

  setVms(vms: readonly VmListing[]): void {
    this.#vms.setTruth(vms, performance.now());
  }

  /** Ends every watch, as a restart of the platform's front would. */
  cutWatches(): void {
    this.#watchers.cutAll();
  }

  /** Writes without a call or a condition. */
  seed(id: ObjectId, value: unknown): StoredObject {
    const changeId = `seed-${this.objects.revision + 1}`;
    const object = this.objects.put({ ...id, changeId, value });
    this.#watchers.publish({ type: "put", object });
    return object;
  }

  async close(): Promise<void> {
    clearInterval(this.#bookmarks);
    this.#watchers.cutAll();
    await this.#server.close();
  }

  #applySettings(settings: PlatformSettings): void {
    if (settings.outage) this.#watchers.cutAll();
    if (!settings.staleReads) this.#stale = undefined;
    else this.#stale ??= this.objects.copy();
    clearInterval(this.#bookmarks);
    this.#bookmarks = setInterval(
      () => this.#watchers.sendBookmarks(this.objects.revision),
      settings.bookmarkIntervalMs,
    );
  }

  #handleAdmin(call: Call, reply: Reply): boolean {
    if (call.path === "/calls") reply.sendJson(200, this.#counts);
    else if (call.path === "/vms" && call.method === "POST") {
      const { vms } = parseJson(call) as { vms: VmListing[] };
      this.setVms(vms);
      reply.sendJson(200, { vms });
    } else return false;
    return true;
  }

  #handle(call: Call, reply: Reply): void | Promise<void> {
    const isWrite = call.method === "PUT" || call.method === "DELETE";
    if (!this.#admit(isWrite)) {
      this.#counts.refused += 1;
      return refuseForRate(reply);
    }
    if (isWrite) return this.#handleWrite(call, reply);
    if (call.path === "/v1/vms") return this.#listVms(reply);
    if (call.path === "/v1/watch") return this.#watch(call, reply);
    this.#counts.reads += 1;
    this.#read(call, reply);
  }

  #admit(isWrite: boolean): boolean {
    const { writesPerSecond, readsPerSecond } = this.#server.settings;
    const limit = isWrite ? this.#writeLimit : this.#readLimit;
    const rate = isWrite ? writesPerSecond : readsPerSecond;
    return limit.tryTake(rate, performance.now());
  }

  #listVms(reply: Reply): void {
    this.#counts.vmLists += 1;
    const { lagMs } = this.#server.settings;
    reply.sendJson(200, { vms: this.#vms.show(lagMs, performance.now()) });
  }

  #watch(call: Call, reply: Reply): void {
    this.#counts.watches += 1;
    const { historyLimit } = this.#server.settings;
    const since = Number(call.query.get("since"));
    const missed = this.objects.changesSince(since, historyLimit);
    if (missed === undefined) {
      return reply.sendJson(410, { message: "Revision is compacted" });
    }
    this.#watchers.add({ reply, kinds: call.query.getAll("kind") }, missed);
  }

  #read(call: Call, reply: Reply): void {
    const objects = this.#stale ?? this.objects;
    const id = parsePath(call.path);
    if (id === undefined) return refusePath(reply);
    if (id.name === undefined) {
      return reply.sendJson(200, objects.list(id.kind));
    }
    const object = objects.get(id as ObjectId);
    if (object === undefined) {
      reply.sendJson(404, { message: "No such object" });
    } else reply.sendJson(200, object);
  }

  #handleWrite(call: Call, reply: Reply): void {
    this.#counts.writes += 1;
    const id = parsePath(call.path);
    if (id?.name === undefined) return refusePath(reply);
    if (call.body.length > this.#server.settings.valueLimitBytes) {
      return reply.sendJson(413, { message: "Value is too large" });
    }
    const current = this.objects.get(id as ObjectId);
    if (!meetsCondition(call, current)) {
      return reply.sendJson(412, { current: current ?? null });
    }
    if (call.method === "PUT") this.#put(id as ObjectId, { call, reply });
    else this.#delete(current as StoredObject, reply);
  }

  #put(id: ObjectId, exchange: { call: Call; reply: Reply }): void {
    const body = parseJson(exchange.call) as
      | { changeId?: unknown; value?: unknown }
      | undefined;
    if (typeof body?.changeId !== "string" || body.value === undefined) {
      return exchange.reply.sendJson(400, { message: "No change id or value" });
    }
    const { changeId, value } = body;
    const object = this.objects.put({ ...id, changeId, value });
    this.#watchers.publish({ type: "put", object });
    exchange.reply.sendJson(200, object);
  }

  #delete(object: StoredObject, reply: Reply): void {
    const { kind, name, uid } = object;
    const revision = this.objects.delete(object);
    this.#watchers.publish({ type: "delete", kind, name, uid, revision });
    reply.sendJson(200, { revision });
  }
}

function parsePath(
  path: string,
): { kind?: ObjectKind; name?: string } | undefined {
  const [empty, version, objects, kind, name, ...rest] = path.split("/");
  if (empty !== "" || version !== "v1" || objects !== "objects") {
    return undefined;
  }
  if (rest.length > 0) return undefined;
  return {
    ...(kind === undefined ? {} : { kind: kind as ObjectKind }),
    ...(name === undefined ? {} : { name: decodeURIComponent(name) }),
  };
}

function refusePath(reply: Reply): void {
  reply.sendJson(400, { message: "No such path" });
}

/** A write without a condition is refused too. */
function meetsCondition(
  call: Call,
  current: StoredObject | undefined,
): boolean {
  if (call.headers["if-none-match"] === "*") return current === undefined;
  return current !== undefined &&
    call.headers["if-match"] === String(current.revision);
}
