import * as z from "zod";
import { ChildProgram } from "./child_program.ts";
import { programPath } from "./program_path.ts";

/** A stand-in's address, as its program prints it. */
export interface StandInAddress {
  readonly kind: string;
  readonly id: string;
  /** `http://` with IP literal and port. */
  readonly address: string;
}

const standInLine = z.object({
  kind: z.string(),
  id: z.string().default(""),
  address: z.string().default(""),
});

/** Stand-ins that share a process. */
export class StandInProcess {
  readonly program: ChildProgram;
  readonly standIns: readonly StandInAddress[];

  private constructor(
    program: ChildProgram,
    standIns: readonly StandInAddress[],
  ) {
    this.program = program;
    this.standIns = standIns;
  }

  /**
   * Starts the stand-ins' program and waits until all listen.
   * @param parameters Its command line.
   * @returns The running stand-ins.
   */
  static async start(parameters: readonly string[]): Promise<StandInProcess> {
    const program = new ChildProgram(
      "foxtailwind-standins",
      programPath("@foxtailwind/standins"),
      parameters,
    );
    const found: StandInAddress[] = [];
    for (;;) {
      const line = standInLine.parse(await program.nextLine());
      if (line.kind === "ready") return new StandInProcess(program, found);
      found.push(line);
    }
  }

  /**
   * Finds a stand-in's address.
   * @param kind Its kind.
   * @returns `http://` with IP literal and port.
   */
  addressOf(kind: string): string {
    const found = this.standIns.find((standIn) => standIn.kind === kind);
    if (found === undefined) {
      throw new Error(`No stand-in of kind ${kind} runs`);
    }
    return found.address;
  }
}

/**
 * Sends JSON to a stand-in.
 * @param url The whole address.
 * @param body The value to send.
 */
export async function postJson(url: string, body: unknown): Promise<void> {
  const answer = await fetch(url, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
  });
  if (!answer.ok) {
    throw new Error(`${url} answered ${answer.status}: ${await answer.text()}`);
  }
  await answer.arrayBuffer();
}
