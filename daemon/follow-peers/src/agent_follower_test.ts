import assert from "node:assert/strict";
import { EventEmitter, once } from "node:events";
import { test, type TestContext } from "node:test";
import { createTextHash } from "@dandelionbank/hash-text";
import { createAgentRouter } from "@dandelionbank/peer-api";
import { PeerServer } from "@dandelionbank/serve-peers";
import type {
  AgentRegistration,
  AgentStatus,
  AgentView,
  ObjectKind,
  StoredObject,
  View,
} from "@dandelionbank/types";
import { AgentFollower } from "./mod.ts";

const PEER_SECRET = "secret-of-the-peers";
const PUSH_INTERVAL_MS = 1_000;

test("A closing is pushed until the agent's answer covers its revision", async (t) => {
  t.mock.timers.enable({ apis: ["setInterval"] });
  const agent = await FakeAgent.start(t);
  const follower = await createFollower(t, agent);
  const first = agent.nextView();
  follower.applyView(createView(agent.peerUrl, { revision: 9, closings: [4] }));
  assert.deepEqual(closingsOf(await first), ["closed-4"]);

  await agent.waitForReply();
  assert.deepEqual(closingsOf(await agent.nextPeriodicView(t)), []);

  const second = agent.nextView();
  follower.applyView(
    createView(agent.peerUrl, { revision: 12, closings: [4, 11] }),
  );
  assert.deepEqual(closingsOf(await second), ["closed-11"]);
});

test("A closing is pushed again when the agent's answer was lost", async (t) => {
  t.mock.timers.enable({ apis: ["setInterval"] });
  const agent = await FakeAgent.start(t);
  const follower = await createFollower(t, agent);
  agent.failsNextPush = true;
  const first = agent.nextView();
  follower.applyView(createView(agent.peerUrl, { revision: 9, closings: [4] }));
  await first;
  await agent.waitForReply();
  assert.deepEqual(closingsOf(await agent.nextPeriodicView(t)), ["closed-4"]);
});

class FakeAgent {
  failsNextPush = false;
  peerUrl = "";
  readonly #events = new EventEmitter();
  #viewRevision = 0;
  #pushCount = 0;
  #replyCount = 0;

  static async start(t: TestContext): Promise<FakeAgent> {
    const agent = new FakeAgent();
    const server = PeerServer.create({
      host: "127.0.0.1",
      port: 0,
      peerSecret: PEER_SECRET,
      router: createAgentRouter({
        applyView: (view) => agent.#applyView(view),
        readStatus: () => agent.#createStatus(),
        askKeys: () => Promise.reject(new Error("Not used in this test")),
      }),
      onAttempt: (_, responder) => responder.end(),
    });
    agent.peerUrl = `http://127.0.0.1:${await server.listen()}`;
    t.after(() => server.close());
    return agent;
  }

  async nextView(): Promise<AgentView> {
    const [view] = await once(this.#events, "view");
    return view as AgentView;
  }

  /** Waits until the replies to all pushes have reached the follower. */
  async waitForReply(): Promise<void> {
    while (this.#replyCount < this.#pushCount) {
      await once(this.#events, "reply");
    }
  }

  /** Called when the follower has received a reply or an error. */
  recordReply(): void {
    this.#replyCount += 1;
    this.#events.emit("reply");
  }

  async nextPeriodicView(t: TestContext): Promise<AgentView> {
    const next = this.nextView();
    t.mock.timers.tick(PUSH_INTERVAL_MS);
    return await next;
  }

  #applyView(view: AgentView): AgentStatus {
    this.#pushCount += 1;
    queueMicrotask(() => this.#events.emit("view", view));
    if (this.failsNextPush) {
      this.failsNextPush = false;
      throw new Error("View rejected");
    }
    this.#viewRevision = view.revision;
    return this.#createStatus();
  }

  #createStatus(): AgentStatus {
    return {
      target: createRegistration("").target,
      incarnation: "agent-1",
      viewRevision: this.#viewRevision,
      isDraining: false,
      load: { inFlight: 0, queued: 0, cachedTokens: 0 },
    };
  }
}

async function createFollower(
  t: TestContext,
  agent: FakeAgent,
): Promise<AgentFollower> {
  const follower = AgentFollower.create({
    entry: "entry-1",
    incarnation: "entry-incarnation",
    access: { peerSecret: PEER_SECRET, timeoutMs: 1_000 },
    hash: await createTextHash(),
    isLeaving: () => false,
    onStatus: () => agent.recordReply(),
    onNoAnswer: () => agent.recordReply(),
  });
  t.after(() => follower.stop());
  return follower;
}

function createView(
  peerUrl: string,
  { revision, closings }: {
    readonly revision: number;
    readonly closings: readonly number[];
  },
): View {
  const { name } = createRegistration(peerUrl).target;
  const entry = {
    name: "entry-1",
    incarnation: "entry-incarnation",
    callerUrl: peerUrl,
    peerUrl,
    dataCentre: "kochi-1",
  };
  return {
    revision,
    config: undefined,
    contracts: new Map(),
    operators: new Map(),
    invalidOperators: new Set(),
    stops: new Map(),
    agents: new Map([[
      name,
      store({ kind: "agent", name }, createRegistration(peerUrl)),
    ]]),
    entries: new Map([[
      "entry-1",
      store({ kind: "entry", name: "entry-1" }, entry),
    ]]),
    closings: new Map(closings.map((closedAt) => {
      const incarnation = `closed-${closedAt}`;
      const value = { entry: "entry-2", incarnation, successor: "entry-3" };
      const object = store({ kind: "closing", name: incarnation }, value);
      return [incarnation, { ...object, revision: closedAt }];
    })),
  };
}

function createRegistration(peerUrl: string): AgentRegistration {
  return {
    target: {
      name: "target-1",
      kind: "engine",
      pool: "chat",
      dataCentre: "kochi-1",
    },
    incarnation: "agent-1",
    peerUrl,
  };
}

function store<Value>(
  { kind, name }: { readonly kind: ObjectKind; readonly name: string },
  value: Value,
): StoredObject<Value> {
  return { kind, name, uid: name, revision: 1, changeId: name, value };
}

function closingsOf(view: AgentView): readonly string[] {
  return view.closings.map(({ incarnation }) => incarnation);
}
