import type { Json } from '@papayahill/common'
import { formatFault, parseOperatorConfig } from '@papayahill/settings'
import { EXIT_CODES } from '../exitCodes.js'
import { readTextFile } from '../readTextFile.js'
import { defineCommand } from '../types.js'

/** Validates an operators' file without contacting any instance. */
export const check = defineCommand({
  command: 'check <file>',
  describe: 'Check an operators\' file and print every fault',
  examples: [['$0 check examples/consorcio.toml', 'Check whether a file is valid']],
  builder: (argv) => argv.positional('file', { type: 'string', demandOption: true, describe: 'The operators\' file (TOML)' }),
  run: async ({ file }, cli) => {
    const parsed = parseOperatorConfig(readTextFile(file), file)
    const faults = parsed.isErr ? parsed.error : []
    cli.printResult({ file, faults: faults as unknown as Json }, () => faults.length === 0 ? [`${file}: fits`] : faults.map(formatFault))
    return faults.length === 0 ? EXIT_CODES.done : EXIT_CODES.malformed
  }
})
