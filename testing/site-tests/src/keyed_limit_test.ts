import {
  callEntry,
  type CallerReply,
  createContract,
  fetchTicket,
  type Site,
} from "@dandelionbank/run-site";
import assert from "node:assert/strict";
import { test } from "node:test";
import { readError } from "./callers.ts";
import { startSite, waitUntil } from "./fixtures.ts";

const ORGANISATION = "harnessa";
const MAX_BURST = 5;
const CALLER_KEY = "caller-key-of-a-small-contract";

test("A repeated keyed call over the contract's rate gets the stored answer", async (t) => {
  const site = await startSite(t, { entries: 2, ranks: 1 });
  await setRequestRate(site, 1_000);
  const first = site.getEntryUrl("entry-1");
  const { ticket } = await fetchTicket(first, CALLER_KEY);
  const answered = await bookReel(first, `${ticket}/reel`);
  assert.equal(answered.status, 200, answered.body);

  await setRequestRate(site, 0.02);
  const refused = await bookUntilRefused(first, ticket);
  assert.equal(refused.status, 429, refused.body);
  assert.equal(readError(refused)?.outcome, "notRun");
  assert.ok(Number(refused.headers["retry-after"]) >= 1);

  for (const entry of ["entry-1", "entry-2"]) {
    const repeat = await bookReel(site.getEntryUrl(entry), `${ticket}/reel`);
    assert.equal(repeat.status, 200, repeat.body);
    assert.equal(repeat.body, answered.body);
  }
});

/** Sets the contract's rate and waits until every entry applies it. */
async function setRequestRate(
  site: Site,
  requestsPerSecond: number,
): Promise<void> {
  const contract = createContract(ORGANISATION, CALLER_KEY);
  const value = { ...contract, requestsPerSecond };
  const path = site.writeFile("contract.json", value);
  const result = await site.runTool(["contract", "set", ORGANISATION, path]);
  assert.equal(result.exitCode, 0, result.lines.join("\n"));
  const revision = Number(/revision (\d+)/.exec(result.lines.join("\n"))?.[1]);
  for (const entry of site.entries.keys()) {
    await waitUntil(`Revision ${revision} at ${entry}`, async () => {
      const { lines } = await site.runTool(["status", "--json"], entry);
      const status = JSON.parse(lines.join("\n")) as {
        readonly viewRevision: number;
      };
      return status.viewRevision >= revision;
    });
  }
}

/** Sends calls until one is refused; tokens left in the bucket may admit some. */
async function bookUntilRefused(
  entryUrl: string,
  ticket: string,
): Promise<CallerReply> {
  for (let attempt = 1;; attempt++) {
    const reply = await bookReel(entryUrl, `${ticket}/other-${attempt}`);
    if (reply.status !== 200 || attempt === MAX_BURST) return reply;
  }
}

function bookReel(entryUrl: string, key: string): ReturnType<typeof callEntry> {
  return callEntry(entryUrl, {
    key: CALLER_KEY,
    path: "/services/parts/reels/book",
    body: JSON.stringify({ gauge: 7 }),
    headers: { "idempotency-key": key },
  });
}
