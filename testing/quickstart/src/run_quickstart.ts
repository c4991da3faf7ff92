/**
 * Starts a site, sends streamed, unstreamed and plain requests through both
 * entries, prints each answer and the target that ran it, and stops the site.
 */

import {
  callEntry,
  type CallerReply,
  fetchTicket,
  Site,
} from "@dandelionbank/run-site";

type Print = (line: string) => void;

const PROMPT = "Summarise the letter of 1923 about the boat jetty";

/** Returns the exit code: 0 if every request was answered and the status was read. */
export async function runQuickstart(print: Print): Promise<number> {
  print("Starting stand-ins, 2 entries, 4 rank agents and 1 plain agent");
  const site = await Site.start({ entries: 2, ranks: 4 });
  try {
    const allAnswered = await sendAllRequests(site, print);
    print("\n$ dandelionbank status");
    const status = await site.runTool(["status"]);
    for (const line of status.lines) print(`  ${line}`);
    return allAnswered && status.exitCode === 0 ? 0 : 1;
  } finally {
    await site.stop();
    print("\nAll processes stopped");
  }
}

async function sendAllRequests(site: Site, print: Print): Promise<boolean> {
  let allAnswered = true;
  for (const [entry, url] of site.entryUrls) {
    const key = site.callerKey;
    const { addresses, ticket } = await fetchTicket(url, key);
    print(`\n${entry} lists ${addresses.length} addresses and issues a ticket`);
    const replies = [
      await printReply(
        print,
        "streamed completion",
        callEntry(url, {
          key,
          path: "/v1/completions",
          body: createCompletionBody({ stream: true }),
        }),
      ),
      await printReply(
        print,
        "unstreamed completion",
        callEntry(url, {
          key,
          path: "/v1/completions",
          body: createCompletionBody({ stream: false }),
        }),
      ),
      await printReply(
        print,
        "keyed plain call",
        callEntry(url, {
          key,
          path: "/services/parts/reels/book",
          body: JSON.stringify({ gauge: 7 }),
          headers: { "idempotency-key": `${ticket}/reel-7` },
        }),
      ),
      await printReply(
        print,
        "repeat with the same key",
        callEntry(url, {
          key,
          path: "/services/parts/reels/book",
          body: JSON.stringify({ gauge: 7 }),
          headers: { "idempotency-key": `${ticket}/reel-7` },
        }),
      ),
    ];
    allAnswered &&= replies.every(({ status, isComplete }) =>
      status === 200 && isComplete
    );
    // The service counts its runs in its answer, so a second run would differ.
    const isStored = replies[2]?.body === replies[3]?.body;
    if (isStored) print("  the repeat got the stored answer");
    allAnswered &&= isStored;
  }
  return allAnswered;
}

async function printReply(
  print: Print,
  label: string,
  reply: Promise<CallerReply>,
): Promise<CallerReply> {
  const { status, headers, body } = await reply;
  const target = headers["dandelionbank-target"];
  print(`  ${label}: status ${status}, ran on ${target ?? "no target"}`);
  print(`    ${extractText(body)}`);
  return await reply;
}

function createCompletionBody(
  { stream }: { readonly stream: boolean },
): string {
  const maxTokens = 8;
  return JSON.stringify({
    model: "plaque-7b",
    prompt: PROMPT,
    max_tokens: maxTokens,
    stream,
  });
}

/** Returns the text of a streamed completion, or the body of any other answer. */
function extractText(body: string): string {
  const events = body.split("\n").filter((line) => line.startsWith("data: {"));
  if (events.length === 0) return body;
  return events.map((line) => extractChoiceText(line.slice("data: ".length)))
    .join("");
}

function extractChoiceText(json: string): string {
  const event = JSON.parse(json) as {
    readonly choices: readonly { readonly text: string }[];
  };
  return event.choices[0]?.text ?? "";
}
