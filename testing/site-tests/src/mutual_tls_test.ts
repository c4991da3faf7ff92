import {
  type CertificatePair,
  createTestAuthority,
  withTempFolder,
} from "@dandelionbank/certificates";
import { callEntry, fetchTicket } from "@dandelionbank/run-site";
import assert from "node:assert/strict";
import { request } from "node:https";
import { test } from "node:test";
import { assertCompletion, completionCall } from "./callers.ts";
import { readAgents, startSite } from "./fixtures.ts";

const WISH = { prompt: "Check the pinout", maxTokens: 6, stream: true };

test("Peers speak mutual TLS, and nobody else gets anywhere", async (t) => {
  await withTempFolder(async (folder) => {
    const authority = createTestAuthority(folder, "authority");
    const flags = tlsFlags(authority.issue("peer"), authority);
    const site = await startSite(t, {
      entries: 2,
      ranks: 1,
      agentArgs: flags,
      entryArgs: flags,
    });
    await assertServed(site.getEntryUrl("entry-1"), site.callerKey);
    await assertRelayed(site.getEntryUrl("entry-1"), {
      other: site.getEntryUrl("entry-2"),
      key: site.callerKey,
    });

    const agent = (await readAgents(site)).get("review-0");
    const url = agent?.peerUrl ?? "";
    assert.match(url, /^https:/);
    const stranger = createTestAuthority(folder, "stranger").issue("other");
    const secret = site.peerSecret;
    const ca = authority.certificate;
    assert.equal(await knock(url, { secret, ca }), "refused");
    assert.equal(await knock(url, { secret, ca, pair: stranger }), "refused");
    const pair = authority.issue("another-peer");
    assert.equal(await knock(url, { secret: "wrong", ca, pair }), 401);
    assert.equal(await knock(url, { secret, ca, pair }), 200);
    assert.equal(await knockPlainly(url), "refused");
  });
});

function tlsFlags(
  pair: CertificatePair,
  authority: CertificatePair,
): readonly string[] {
  return [
    `--peer-tls-cert-file=${pair.certificatePath}`,
    `--peer-tls-key-file=${pair.keyPath}`,
    `--peer-tls-ca-file=${authority.certificatePath}`,
  ];
}

async function assertServed(url: string, key: string): Promise<void> {
  assertCompletion(await callEntry(url, completionCall(key, WISH)), WISH);
}

/** A keyed call passes from one entry to the other. */
async function assertRelayed(
  home: string,
  asked: { readonly other: string; readonly key: string },
): Promise<void> {
  const { other, key } = asked;
  const { ticket } = await fetchTicket(home, key);
  const reply = await callEntry(other, {
    ...completionCall(key, WISH),
    headers: { "idempotency-key": `${ticket}/pinout` },
  });
  assertCompletion(reply, WISH);
}

interface Knock {
  readonly secret: string;
  readonly ca: string;
  readonly pair?: CertificatePair;
}

function knock(
  peerUrl: string,
  { secret, ca, pair }: Knock,
): Promise<number | "refused"> {
  return new Promise((resolve) => {
    const outgoing = request(`${peerUrl}/trpc/readStatus`, {
      agent: false,
      ca,
      ...(pair === undefined ? {} : { cert: pair.certificate, key: pair.key }),
      headers: { authorization: `Bearer ${secret}` },
    });
    outgoing.on("response", (response) => {
      response.resume();
      resolve(response.statusCode ?? 0);
    });
    outgoing.on("error", () => resolve("refused"));
    outgoing.end();
  });
}

async function knockPlainly(peerUrl: string): Promise<number | "refused"> {
  const plain = peerUrl.replace("https:", "http:");
  const call = { key: "none", path: "/trpc/readStatus" };
  try {
    return (await callEntry(plain, call)).status;
  } catch {
    return "refused";
  }
}
