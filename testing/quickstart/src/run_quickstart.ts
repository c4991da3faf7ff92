/**
 * Starts a site, sends streamed, whole and plain requests through both
 * entries, shows what was asked and answered and where it ran, and stops.
 */

import {
  callEntry,
  type CallerReply,
  fetchTicket,
  Site,
} from "@dandelionbank/run-site";

type Print = (line: string) => void;

const PROMPT = "Summarise the letter of 1923 about the boat jetty";

/** Returns the exit code: 0 if every request was answered. */
export async function runQuickstart(print: Print): Promise<number> {
  print("Starting stand-ins, 2 entries, 4 rank agents and 1 plain agent");
  const site = await Site.start({ entries: 2, ranks: 4 });
  try {
    const isServed = await serveAll(site, print);
    print("\n$ dandelionbank status");
    const status = await site.runTool(["status"]);
    for (const line of status.lines) print(`  ${line}`);
    return isServed && status.exitCode === 0 ? 0 : 1;
  } finally {
    await site.stop();
    print("\nEverything is stopped");
  }
}

async function serveAll(site: Site, print: Print): Promise<boolean> {
  let isServed = true;
  for (const [entry, url] of site.entryUrls) {
    const key = site.callerKey;
    const { addresses, ticket } = await fetchTicket(url, key);
    print(`\n${entry} names ${addresses.length} addresses and gives a ticket`);
    const replies = [
      await ask(
        print,
        "streamed completion",
        callEntry(url, {
          key,
          path: "/v1/completions",
          body: completion({ stream: true }),
        }),
      ),
      await ask(
        print,
        "whole completion",
        callEntry(url, {
          key,
          path: "/v1/completions",
          body: completion({ stream: false }),
        }),
      ),
      await ask(
        print,
        "plain call, once",
        callEntry(url, {
          key,
          path: "/services/parts/reels/book",
          body: JSON.stringify({ gauge: 7 }),
          headers: { "idempotency-key": `${ticket}/reel-7` },
        }),
      ),
      await ask(
        print,
        "the same call again",
        callEntry(url, {
          key,
          path: "/services/parts/reels/book",
          body: JSON.stringify({ gauge: 7 }),
          headers: { "idempotency-key": `${ticket}/reel-7` },
        }),
      ),
    ];
    isServed &&= replies.every(({ status, isComplete }) =>
      status === 200 && isComplete
    );
    isServed &&= replies[2]?.body === replies[3]?.body;
  }
  return isServed;
}

async function ask(
  print: Print,
  what: string,
  reply: Promise<CallerReply>,
): Promise<CallerReply> {
  const { status, headers, body } = await reply;
  const target = headers["dandelionbank-target"];
  const place = target === undefined ? "the kept answer" : `ran on ${target}`;
  print(`  ${what}: status ${status}, ${place}`);
  print(`    ${textOf(body)}`);
  return await reply;
}

function completion({ stream }: { readonly stream: boolean }): string {
  const maxTokens = 8;
  return JSON.stringify({
    model: "plaque-7b",
    prompt: PROMPT,
    max_tokens: maxTokens,
    stream,
  });
}

/** The text of a completion, or the body itself. */
function textOf(body: string): string {
  const events = body.split("\n").filter((line) => line.startsWith("data: {"));
  if (events.length === 0) return body;
  return events.map((line) => choiceText(line.slice("data: ".length))).join("");
}

function choiceText(json: string): string {
  const event = JSON.parse(json) as {
    readonly choices: readonly { readonly text: string }[];
  };
  return event.choices[0]?.text ?? "";
}
