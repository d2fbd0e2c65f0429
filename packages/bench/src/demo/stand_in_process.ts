import * as z from "zod";
import { ChildProgram } from "./child_program.ts";
import { programPath } from "./program_path.ts";

/** The address of a stand-in, as printed by the stand-in program. */
export interface StandInAddress {
  readonly kind: string;
  readonly id: string;
  /** An `http://` URL with IP literal and port. */
  readonly address: string;
}

const standInLineSchema = z.object({
  kind: z.string(),
  id: z.string().default(""),
  address: z.string().default(""),
});

/** A process that runs several stand-ins. */
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
   * Starts the stand-in program and waits until all stand-ins listen.
   * @param commandArguments The command-line arguments of the program.
   * @returns The running stand-ins.
   */
  static async start(
    commandArguments: readonly string[],
  ): Promise<StandInProcess> {
    const program = new ChildProgram(
      "foxtailwind-standins",
      programPath("@foxtailwind/standins"),
      commandArguments,
    );
    const addresses: StandInAddress[] = [];
    for (;;) {
      const line = standInLineSchema.parse(await program.nextLine());
      if (line.kind === "ready") return new StandInProcess(program, addresses);
      addresses.push(line);
    }
  }

  /**
   * Returns the address of the first stand-in of a kind.
   * @param kind The kind of stand-in.
   * @returns An `http://` URL with IP literal and port.
   */
  addressOf(kind: string): string {
    const found = this.standIns.find((standIn) => standIn.kind === kind);
    if (found === undefined) {
      throw new Error(`no stand-in of kind ${kind} is running`);
    }
    return found.address;
  }
}

/**
 * Posts JSON to a URL and throws unless the status is 2xx.
 * @param url The full URL.
 * @param body The value to send.
 */
export async function postJson(url: string, body: unknown): Promise<void> {
  const response = await fetch(url, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
  });
  if (!response.ok) {
    throw new Error(
      `${url} answered ${response.status}: ${await response.text()}`,
    );
  }
  await response.arrayBuffer();
}
