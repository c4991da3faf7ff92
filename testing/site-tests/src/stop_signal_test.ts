/** What callers of `dandelionbankd` see when one of its processes gets SIGTERM. */

import {
  callEntry,
  type CallerReply,
  type CallerRequest,
  fetchTicket,
  type Site,
} from "@dandelionbank/run-site";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import {
  countAllExecutions,
  createCompletionCall,
  readError,
  sleep,
  startSite,
  waitUntil,
} from "./mod.ts";

const TEST_OPTIONS = { timeout: 60_000 };
const SITE_OPTIONS = { entries: 2, ranks: 2 };
const WORK_MS = 600;
const CALL_INTERVAL_MS = 50;
const BEFORE_SIGNAL_MS = 600;
const AFTER_SIGNAL_MS = 2_000;

for (const name of ["entry-1", "parts-0", "review-0"]) {
  test(
    `Every call that ran is answered when ${name} gets SIGTERM`,
    TEST_OPTIONS,
    async (context) => {
      const site = await startSite(context, SITE_OPTIONS);
      await site.setFaults(site.plainUrl, { workMs: WORK_MS });
      const load = await MixedLoad.start(site);
      await sleep(BEFORE_SIGNAL_MS);
      const stopping = (site.entries.get(name) ?? site.agents.get(name))!;
      stopping.signal("SIGTERM");
      await waitUntil(`${name} ends`, () => !stopping.isRunning);
      await sleep(AFTER_SIGNAL_MS);
      const results = await load.stop();
      const plain = results.filter(({ isStream }) => !isStream);
      const answered = plain.filter(({ result }) => result === "answered");
      assert.equal(await countAllExecutions(site.plainUrl), answered.length);
      assert.ok(answered.length > 0);
      const isCut = ({ result }: CallResult) =>
        result === "cut" || result === "failed";
      assert.deepEqual(results.filter(isCut), []);
    },
  );
}

// Guards against an agent that closes connections on which entries, which have not
// followed its withdrawal yet, send it attempts: these then count as lost.
test(
  "No call has an unknown outcome when an agent gets SIGTERM under quick calls",
  TEST_OPTIONS,
  async (context) => {
    const site = await startSite(context, SITE_OPTIONS);
    const load = await MixedLoad.start(site, { intervalMs: 4 });
    await sleep(BEFORE_SIGNAL_MS);
    const stopping = site.agents.get("parts-0")!;
    stopping.signal("SIGTERM");
    await waitUntil("the agent ends", () => !stopping.isRunning);
    await sleep(BEFORE_SIGNAL_MS);
    const results = await load.stop();
    const isFailed = ({ result }: CallResult) => result === "failed";
    assert.equal(results.filter(isFailed).length, 0, `of ${results.length}`);
  },
);

// Guards against calls that are checked on their head alone, and so taken by an entry
// that has begun to stop in between.
test(
  "A call whose body ends after SIGTERM is refused as not run",
  TEST_OPTIONS,
  async (context) => {
    const site = await startSite(context, SITE_OPTIONS);
    const { hostname, port } = new URL(site.getEntryUrl("entry-1"));
    const stopping = site.entries.get("entry-1")!;
    const body = JSON.stringify({ reel: "late" });
    const socket = connect(Number(port), hostname);
    socket.write([
      "POST /services/parts/reels/book HTTP/1.1",
      "host: entry",
      `authorization: Bearer ${site.callerKey}`,
      "content-type: application/json",
      `content-length: ${body.length}`,
      "",
      body.slice(0, -1),
    ].join("\r\n"));
    await sleep(200);
    stopping.signal("SIGTERM");
    await stopping.waitForLine(({ name }) => name === "processStopping");
    await sleep(200);
    socket.write(body.slice(-1));
    const [answer] = await once(socket, "data");
    assert.match(String(answer), /"outcome":"notRun"/);
    assert.match(String(answer), /DANDELIONBANK_STOPPING/);
    assert.equal(await countAllExecutions(site.plainUrl), 0);
    await waitUntil("the entry ends", () => !stopping.isRunning);
  },
);

interface CallResult {
  readonly isStream: boolean;
  readonly result: "answered" | "refused" | "failed" | "cut" | "notConnected";
}

/** Plain calls, with and without a key, and streams at every entry. */
class MixedLoad {
  readonly #site: Site;
  readonly #ticket: string;
  readonly #results: Promise<CallResult>[] = [];
  readonly #timer: NodeJS.Timeout;

  private constructor(
    site: Site,
    { ticket, intervalMs }: {
      readonly ticket: string;
      readonly intervalMs: number;
    },
  ) {
    this.#site = site;
    this.#ticket = ticket;
    this.#timer = setInterval(() => this.#sendAll(), intervalMs);
  }

  /** The keys of the calls belong to the first entry. */
  static async start(
    site: Site,
    { intervalMs = CALL_INTERVAL_MS }: { readonly intervalMs?: number } = {},
  ): Promise<MixedLoad> {
    const { ticket } = await fetchTicket(
      site.getEntryUrl("entry-1"),
      site.callerKey,
    );
    return new MixedLoad(site, { ticket, intervalMs });
  }

  /** Sends no more calls; resolves with the results of all. */
  async stop(): Promise<readonly CallResult[]> {
    clearInterval(this.#timer);
    return await Promise.all(this.#results);
  }

  #sendAll(): void {
    for (const url of this.#site.entryUrls.values()) {
      const name = `call-${this.#results.length}`;
      const book = this.#createBookCall(name);
      const headers = { "idempotency-key": `${this.#ticket}/${name}` };
      const prompt = { prompt: name, maxTokens: 60, stream: true };
      const stream = createCompletionCall(this.#site.callerKey, prompt);
      this.#send(url, { call: book, isStream: false });
      this.#send(url, { call: { ...book, headers }, isStream: false });
      this.#send(url, { call: stream, isStream: true });
    }
  }

  #createBookCall(name: string): CallerRequest {
    const path = "/services/parts/reels/book";
    const body = JSON.stringify({ reel: name });
    return { key: this.#site.callerKey, path, body };
  }

  #send(
    url: string,
    { call, isStream }: {
      readonly call: CallerRequest;
      readonly isStream: boolean;
    },
  ): void {
    const result = callEntry(url, call).then(
      classifyReply,
      // An entry that has ended, or ends while the connection is opened.
      (): CallResult["result"] => "notConnected",
    );
    this.#results.push(result.then((result) => ({ isStream, result })));
  }
}

function classifyReply(reply: CallerReply): CallResult["result"] {
  if (!reply.isComplete) return "cut";
  if (reply.status === 200) {
    return reply.body.includes("event: error") ? "failed" : "answered";
  }
  const error = readError(reply);
  // A stopping entry cannot tell whether another call with the key ran.
  const isRefused = error?.outcome === "notRun" ||
    error?.code === "DANDELIONBANK_STOPPING";
  return isRefused ? "refused" : "failed";
}
