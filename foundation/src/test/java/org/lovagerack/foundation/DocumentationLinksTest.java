package org.lovagerack.foundation;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against documentation pages with links to files that do not exist. */
final class DocumentationLinksTest {

  private static final Path ROOT = Path.of("..");

  /** Target of a Markdown link to a file. Excludes URLs, which contain a colon. */
  private static final Pattern LINK = Pattern.compile("\\]\\(([^)#:]+)(#[^)]*)?\\)");

  @Test
  void everyRelativeLinkResolves() throws IOException {
    List<String> broken = new ArrayList<>();
    for (Path page : pages()) {
      Matcher matcher = LINK.matcher(Files.readString(page));
      while (matcher.find()) {
        if (!Files.exists(page.resolveSibling(matcher.group(1)))) {
          broken.add(page + ": " + matcher.group(1));
        }
      }
    }

    assertThat(broken).isEmpty();
  }

  private static List<Path> pages() throws IOException {
    List<Path> pages = new ArrayList<>();
    for (Path folder : List.of(ROOT, ROOT.resolve("docs"))) {
      try (Stream<Path> files = Files.list(folder)) {
        files.filter(file -> file.toString().endsWith(".md")).forEach(pages::add);
      }
    }
    return pages;
  }
}
