/**
 * Bytes and processor time of the periodic control calls between an entry and
 * an agent, and between two entries. Each call passes a relay that counts bytes.
 */

import { AgentFollower, EntryFollower } from "@dandelionbank/follow-peers";
import type { TextHash } from "@dandelionbank/hash-text";
import { createAgentRouter, createEntryRouter } from "@dandelionbank/peer-api";
import { PeerServer } from "@dandelionbank/serve-peers";
import type { StoredObject, View } from "@dandelionbank/types";
import type { AnyRouter } from "@trpc/server";
import { type Figure, unbounded } from "../bench.ts";
import { CountingRelay } from "./counting_relay.ts";
import { fitLine, type Point, toFigures } from "./slope.ts";
import { createAgent, createEntry, createObject } from "./view_objects.ts";

const SECRET = "secret-of-the-bench";
const ACCESS = { peerSecret: SECRET, timeoutMs: 1_000 } as const;
const AGENT_COUNTS = [20, 60, 120] as const;
const CLOSING_COUNTS = [0, 20, 60] as const;
const PEER_ENTRIES = 7;
const SETTLE_MS = 1_500;
const WINDOW_MS = 4_000;

interface Traffic {
  readonly calls: number;
  readonly bytes: number;
  readonly cpuUs: number;
}

export async function measureControlTraffic(
  hash: TextHash,
): Promise<readonly Figure[]> {
  const cpu: Point[] = [];
  const bytes: Point[] = [];
  for (const size of AGENT_COUNTS) {
    const { cpuUs, calls } = await measureViewTraffic(hash, {
      agents: size,
      closings: 0,
    });
    cpu.push({ size: calls, value: cpuUs });
  }
  for (const size of CLOSING_COUNTS) {
    const traffic = await measureViewTraffic(hash, {
      agents: 20,
      closings: size,
    });
    bytes.push({ size, value: traffic.bytes / traffic.calls });
  }
  const pings = await measurePingTraffic(hash);
  return [
    ...toFigures({ name: "bothEndsCpuPerView", unit: "us" }, cpu),
    unbounded({
      name: "bytesPerView",
      value: fitLine(bytes).base,
      unit: "B",
    }),
    ...toFigures({ name: "bytesPerViewAndClosing", unit: "B" }, bytes),
    unbounded({
      name: "bytesPerPing",
      value: pings.bytes / pings.calls,
      unit: "B",
    }),
    unbounded({
      name: "bothEndsCpuPerPing",
      value: pings.cpuUs / pings.calls,
      unit: "us",
    }),
  ];
}

async function measureViewTraffic(
  hash: TextHash,
  sizes: { readonly agents: number; readonly closings: number },
): Promise<Traffic> {
  const router = createAgentRouter({
    applyView: () => createStatus(),
    readStatus: () => createStatus(),
    askKeys: () => Promise.reject(new Error("Unexpected call")),
  });
  return await measureTraffic(router, (peerUrl) => {
    const follower = AgentFollower.create({
      entry: "entry-0",
      incarnation: "entry-incarnation-0",
      access: ACCESS,
      hash,
      isLeaving: () => false,
      onStatus: () => {},
      onNoAnswer: () => {},
    });
    follower.applyView(createView({ ...sizes, entries: 1, peerUrl }));
    return follower;
  });
}

async function measurePingTraffic(hash: TextHash): Promise<Traffic> {
  const router = createEntryRouter({
    readStatus: () => {
      throw new Error("Unexpected call");
    },
    ping: () => ({ incarnation: "entry-incarnation-1", viewRevision: 41_234 }),
    applyRemoteLosses: () => {},
    applyRemoteQuarantine: () => {},
  });
  return await measureTraffic(router, (peerUrl) => {
    const follower = EntryFollower.create({
      entry: "entry-0",
      access: ACCESS,
      hash,
      onLost: () => {},
    });
    const entries = PEER_ENTRIES + 1;
    follower.applyView(
      createView({ agents: 0, closings: 0, entries, peerUrl }),
    );
    return follower;
  });
}

/** Measures the calls that the follower makes within the window. */
async function measureTraffic(
  router: AnyRouter,
  start: (peerUrl: string) => { stop(): void },
): Promise<Traffic> {
  const server = PeerServer.create({
    host: "127.0.0.1",
    port: 0,
    peerSecret: SECRET,
    router,
    onAttempt: (_, responder) => responder.end(),
  });
  const relay = await CountingRelay.start(await server.listen());
  const follower = start(`http://127.0.0.1:${relay.port}`);
  await wait(SETTLE_MS);
  const before = { ...relay.counts, cpuUs: readCpuUs() };
  await wait(WINDOW_MS);
  const after = { ...relay.counts, cpuUs: readCpuUs() };
  follower.stop();
  await wait(SETTLE_MS);
  relay.close();
  await server.close();
  return {
    calls: after.calls - before.calls,
    bytes: after.bytes - before.bytes,
    cpuUs: after.cpuUs - before.cpuUs,
  };
}

function createView(
  sizes: {
    readonly agents: number;
    readonly closings: number;
    readonly entries: number;
    readonly peerUrl: string;
  },
): View {
  const { peerUrl } = sizes;
  return {
    revision: 41_234,
    config: undefined,
    contracts: new Map(),
    operators: new Map(),
    invalidOperators: new Set(),
    stops: new Map(),
    agents: createObjectMap(sizes.agents, (number) => {
      const value = createAgent(number, peerUrl);
      return createObject({ kind: "agent", name: value.target.name }, value);
    }),
    entries: createObjectMap(sizes.entries, (number) => {
      const value = createEntry(number, peerUrl);
      return createObject({ kind: "entry", name: value.name }, value);
    }),
    closings: createObjectMap(sizes.closings, (number) => {
      const value = {
        entry: `entry-${number}`,
        incarnation: `00000000-0000-4000-8000-${number + 100_000_000_000}`,
        successor: `00000000-0000-4000-8000-${number + 200_000_000_000}`,
      };
      return createObject({ kind: "closing", name: value.incarnation }, value);
    }),
  };
}

function createObjectMap<Value>(
  size: number,
  createNumbered: (number: number) => StoredObject<Value>,
): ReadonlyMap<string, StoredObject<Value>> {
  const objects = Array.from(
    { length: size },
    (_, number) => createNumbered(number),
  );
  return new Map(objects.map((object) => [object.name, object]));
}

function createStatus() {
  const { target, incarnation } = createAgent(1, "");
  const load = { inFlight: 12, queued: 0, cachedTokens: 41_234 };
  return {
    target,
    incarnation,
    viewRevision: 41_234,
    isDraining: false,
    load,
  };
}

function readCpuUs(): number {
  const { user, system } = process.cpuUsage();
  return user + system;
}

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
