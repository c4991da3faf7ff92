import { digestKey } from "@dandelionbank/check-credential";
import { createViewState, stepView } from "@dandelionbank/fold-view";
import type { LogFields, Logger } from "@dandelionbank/log-events";
import { type InjectedFailure, MemoryStore } from "@dandelionbank/memory-store";
import { parseValue } from "@dandelionbank/parse-objects";
import type { StatusReport, View } from "@dandelionbank/types";
import { createTRPCClient, httpLink, TRPCClientError } from "@trpc/client";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import {
  type CallErrorShape,
  createOperatorHandler,
  OPERATOR_PATH,
  type OperatorApiOptions,
  type OperatorRouter,
} from "./mod.ts";

const KEY = "asha-key";
const ENTRY = { name: "e1", dataCentre: "kochi-1", callerUrl: "http://h" };
const STATUS: StatusReport = {
  entry: ENTRY,
  version: "0.1.0",
  incarnation: "i1",
  isReady: true,
  notReadyReasons: [],
  viewRevision: 7,
  isPlatformReachable: true,
  entries: [ENTRY],
  targets: [],
  outcomes: { answered: 1, notRun: 0, unknown: 0, failed: 0 },
};
const CONTRACT = {
  organisation: "trust",
  keyDigests: [digestKey("caller")],
  requestsPerSecond: 10,
  concurrentRequests: 4,
  tokensPerMinute: 60_000,
  shareWeight: 1,
  priority: 5,
  objective: { firstTokenMs: 500, betweenTokensMs: 100, answeredMs: 9_000 },
};

function createClient(url: string, key = KEY) {
  const headers = { authorization: `Bearer ${key}` };
  const link = httpLink({ url: `${url}${OPERATOR_PATH}`, headers });
  return createTRPCClient<OperatorRouter>({ links: [link] });
}

interface Fixture {
  readonly store: MemoryStore;
  readonly url: string;
  readonly client: ReturnType<typeof createClient>;
  readonly logged: (readonly [string, LogFields])[];
}

async function withApi(
  use: (fixture: Fixture) => Promise<void>,
  options: Partial<OperatorApiOptions> = {},
): Promise<void> {
  const store = MemoryStore.create();
  const logged: (readonly [string, LogFields])[] = [];
  const logger: Logger = {
    log: (name, fields) => void logged.push([name, fields]),
  };
  const handle = createOperatorHandler({
    store,
    readView: () => store.readView(),
    readStatus: () => STATUS,
    logger,
    ...options,
  });
  const server = createServer((request, response) =>
    void handle(request, response)
  );
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const url = `http://127.0.0.1:${port}`;
  try {
    await use({ store, url, client: createClient(url), logged });
  } finally {
    server.close();
    server.closeAllConnections();
  }
}

function seedOperator(store: MemoryStore): void {
  const value = { name: "asha", keyDigests: [digestKey(KEY)] };
  store.seed({ kind: "operator", name: "asha" }, value);
}

/** Creates the view of a platform whose only object is an operator. */
function foldOperator(value: unknown): View | undefined {
  const state = createViewState(({ kind, value }) => parseValue(kind, value));
  const id = { kind: "operator", name: "asha", uid: "u" } as const;
  const items = [{ ...id, revision: 1, changeId: "c", value }];
  return stepView(state, { type: "listed", list: { items, revision: 1 } })
    .state.view;
}

async function captureErrorData(
  call: Promise<unknown>,
): Promise<CallErrorShape["data"]> {
  const error = await call.then(() => undefined, (reason) => reason);
  assert.ok(error instanceof TRPCClientError, "The call did not fail");
  return (error.shape as CallErrorShape).data;
}

test("An operator creates, reads, updates and deletes a contract", async () => {
  await withApi(async ({ store, client, logged }) => {
    seedOperator(store);
    const address = { kind: "contract", name: "trust" } as const;
    const created = await client.objects.set.mutate({
      ...address,
      value: CONTRACT,
      changeId: "c1",
    });
    assert.ok(created.kind === "written");
    assert.equal(created.object.changeId, "asha/c1");
    const read = await client.objects.get.query(address);
    assert.deepEqual(read, created.object);
    const changed = await client.objects.set.mutate({
      ...address,
      value: { ...CONTRACT, priority: 9 },
      expectedRevision: created.object.revision,
      changeId: "c2",
    });
    assert.ok(changed.kind === "written");
    const listed = await client.objects.list.query({ kind: "contract" });
    assert.deepEqual(listed, [changed.object]);
    const expectedRevision = changed.object.revision;
    const deleted = await client.objects.delete.mutate({
      ...address,
      expectedRevision,
    });
    assert.equal(deleted.kind, "deleted");
    assert.equal(await client.objects.get.query(address), null);
    const names = logged.map(([name]) => name);
    assert.deepEqual(names, [
      "operatorWrote",
      "operatorWrote",
      "operatorDeleted",
    ]);
  });
});

test("A conflict is answered with both versions and status 409", async () => {
  await withApi(async ({ store, url, client }) => {
    seedOperator(store);
    store.seed({ kind: "operator", name: "ravi" }, {
      name: "ravi",
      keyDigests: [digestKey("ravi-key")],
    });
    const address = { kind: "contract", name: "trust" } as const;
    const write = { ...address, value: CONTRACT };
    const ravi = createClient(url, "ravi-key");
    const won = await ravi.objects.set.mutate({ ...write, changeId: "r1" });
    assert.ok(won.kind === "written");
    const lost = await client.objects.set.mutate({ ...write, changeId: "a1" });
    assert.ok(lost.kind === "conflict");
    assert.deepEqual(lost.yours, { value: CONTRACT });
    assert.deepEqual(lost.current, won.object);
    assert.equal(lost.currentWriter, "ravi");
    assert.equal(lost.error.code, "DANDELIONBANK_STALE_REVISION");
    const response = await fetch(`${url}${OPERATOR_PATH}objects.delete`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${KEY}`,
        "content-type": "application/json",
      },
      body: JSON.stringify({ ...address, expectedRevision: 1 }),
    });
    assert.equal(response.status, 409);
    const { result } = await response.json() as {
      result: { data: { yours: unknown } };
    };
    assert.deepEqual(result.data.yours, { expectedRevision: 1 });
  });
});

test("A retry that conflicts with its own first attempt succeeds", async () => {
  await withApi(async ({ store, client }) => {
    seedOperator(store);
    const write = {
      kind: "contract",
      name: "trust",
      value: CONTRACT,
      changeId: "c1",
    } as const;
    const code = "DANDELIONBANK_WRITE_UNSETTLED";
    store.failNext({ code, takesEffect: true });
    const failure = await captureErrorData(client.objects.set.mutate(write));
    assert.equal(failure.error.outcome, "unknown");
    const again = await client.objects.set.mutate(write);
    assert.equal(again.kind, "written");
    const value = { ...CONTRACT, priority: 1 };
    const other = await client.objects.set.mutate({ ...write, value });
    assert.equal(other.kind, "conflict");
  });
});

test("A stop records the calling operator, whoever its value names", async () => {
  await withApi(async ({ store, client }) => {
    seedOperator(store);
    const report = await client.objects.set.mutate({
      kind: "stop",
      name: "t1",
      value: { target: "t1", reason: "new kernel", requestedBy: "ravi" },
      changeId: "c1",
    });
    assert.ok(report.kind === "written");
    const value = { target: "t1", reason: "new kernel", requestedBy: "asha" };
    assert.deepEqual(report.object.value, value);
    assert.deepEqual(report.warnings, [
      'No agent is registered for target "t1"',
    ]);
  });
});

interface InvalidWrite {
  readonly kind: "contract" | "config" | "stop" | "operator";
  readonly name: string;
  readonly value: unknown;
  readonly problems: readonly string[];
}

const INVALID_WRITES: readonly InvalidWrite[] = [
  {
    kind: "contract",
    name: "trust",
    value: { ...CONTRACT, priority: 10, shareWeight: "1" },
    problems: [
      'shareWeight: found "1", expected a number from 0.001 to 1000000',
      "priority: found 10, expected a whole number from 0 to 9",
    ],
  },
  {
    kind: "contract",
    name: "harnessa",
    value: CONTRACT,
    problems: ['contract name: found "harnessa", expected "trust"'],
  },
  {
    kind: "config",
    name: "other",
    value: {},
    problems: ['config name: found "other", expected "config"'],
  },
  {
    kind: "operator",
    name: "ravi",
    value: { name: "ravi", keyDigests: [digestKey(KEY)] },
    problems: [
      'keyDigests[0]: found in operator "asha" too, expected a key of one operator only',
    ],
  },
  {
    kind: "stop",
    name: "t1",
    value: [],
    problems: ["stop: found a list of 0, expected an object"],
  },
];

for (const { problems, ...write } of INVALID_WRITES) {
  test(`An invalid ${write.kind} is rejected with its problems: ${problems[0]}`, async () => {
    await withApi(async ({ store, client }) => {
      seedOperator(store);
      const call = client.objects.set.mutate({ ...write, changeId: "c" });
      const { httpStatus, error } = await captureErrorData(call);
      assert.equal(httpStatus, 400);
      assert.equal(error.code, "DANDELIONBANK_INVALID_VALUE");
      assert.equal(error.outcome, "notRun");
      assert.deepEqual(error.problems, problems);
      assert.equal(await store.get(write.kind, write.name), undefined);
    });
  });
}

const STORE_FAILURES:
  readonly (readonly [InjectedFailure["code"], number, string])[] = [
    ["DANDELIONBANK_PLATFORM_UNREACHABLE", 503, "notRun"],
    ["DANDELIONBANK_PLATFORM_RATE_LIMITED", 429, "notRun"],
    ["DANDELIONBANK_WRITE_UNSETTLED", 504, "unknown"],
  ];

for (const [code, status, outcome] of STORE_FAILURES) {
  test(`${code} is answered with ${status} ${outcome}`, async () => {
    await withApi(async ({ store, client, logged }) => {
      seedOperator(store);
      store.failNext({ code, takesEffect: false });
      const value = { target: "t1", reason: "r" };
      const write = { kind: "stop", name: "t1", value, changeId: "c" } as const;
      const failure = await captureErrorData(client.objects.set.mutate(write));
      assert.equal(failure.httpStatus, status);
      assert.equal(failure.error.code, code);
      assert.equal(failure.error.outcome, outcome);
      assert.equal(logged.at(-1)?.[1].code, code);
    });
  });
}

interface RawCall {
  readonly path: string;
  readonly body?: string;
  readonly key?: string;
  readonly status: number;
  readonly code: string;
}

const RAW_CALLS: readonly RawCall[] = [
  { path: "status", key: "", status: 401, code: "UNKNOWN_OPERATOR" },
  { path: "status", key: "caller", status: 401, code: "UNKNOWN_OPERATOR" },
  { path: "nothing", status: 404, code: "NOT_FOUND" },
  { path: "objects.set", body: "{", status: 400, code: "BAD_REQUEST" },
  { path: "objects.set", body: "{}", status: 400, code: "WRONG_INPUT" },
  {
    path: "objects.set",
    body: `"${"x".repeat(2_097_152)}"`,
    status: 413,
    code: "PAYLOAD_TOO_LARGE",
  },
  {
    path: "objects.delete",
    body: '{"kind":"config","name":"config","expectedRevision":1}',
    status: 400,
    code: "WRONG_INPUT",
  },
];

for (const { path, body, key = KEY, status, code } of RAW_CALLS) {
  test(`${path} ${body?.slice(0, 20) ?? key} is rejected with ${status} ${code}`, async () => {
    await withApi(async ({ store, url }) => {
      seedOperator(store);
      const response = await fetch(`${url}${OPERATOR_PATH}${path}`, {
        headers: {
          authorization: `Bearer ${key}`,
          "content-type": "application/json",
        },
        ...(body !== undefined && { method: "POST", body }),
      });
      assert.equal(response.status, status);
      const { error } = await response.json() as {
        error: { data: CallErrorShape["data"] };
      };
      assert.equal(error.data.error.code, `DANDELIONBANK_${code}`);
      assert.equal(error.data.error.outcome, "notRun");
      assert.equal("stack" in error.data, false);
    });
  });
}

test("The bootstrap key is accepted only while no operator exists", async () => {
  const bootstrapKeyDigest = digestKey("first-key");
  await withApi(async ({ store, url }) => {
    const client = createClient(url, "first-key");
    assert.deepEqual(await client.status.query(), STATUS);
    const value = { name: "asha", keyDigests: [digestKey(KEY)] };
    const write = { kind: "operator", name: "asha", value } as const;
    const created = await client.objects.set.mutate({
      ...write,
      changeId: "c",
    });
    assert.equal(
      created.kind === "written" && created.object.changeId,
      "bootstrap/c",
    );
    const { httpStatus } = await captureErrorData(client.status.query());
    assert.equal(httpStatus, 401);
    assert.equal((await store.list("operator")).items.length, 1);
  }, { bootstrapKeyDigest });
});

// Guards against a bootstrap key that gains an operator's rights again by an object
// that cannot be read.
test("The bootstrap key is refused while an operator's object is invalid", async () => {
  const view = foldOperator({ name: "asha", keyDigests: "none" });
  await withApi(async ({ client }) => {
    const { httpStatus } = await captureErrorData(client.status.query());
    assert.equal(httpStatus, 401);
  }, { bootstrapKeyDigest: digestKey(KEY), readView: () => view });
});

test("An entry without a view answers calls with status 503", async () => {
  await withApi(async ({ client }) => {
    const { httpStatus, error } = await captureErrorData(client.status.query());
    assert.equal(httpStatus, 503);
    assert.equal(error.code, "DANDELIONBANK_VIEW_UNKNOWN");
  }, {
    readView: () => undefined,
    bootstrapKeyDigest: digestKey(KEY),
  });
});
