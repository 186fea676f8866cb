#include "radishrail/routed_documents.h"

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "radishrail/random.h"

namespace radishrail {
namespace {

class RoutedDocumentsTest : public testing::Test {
 protected:
  void Add(const std::string& host, const std::string& prefix) {
    RoutedDocument route;
    route.host = host;
    route.path_prefix = prefix;
    auto document = std::make_shared<VersionedDocument>();
    document->document.environment = absl::StrCat("of ", host, prefix);
    route.document = std::move(document);
    documents_.Add(std::move(route));
    prefixes_.push_back(prefix);
  }
  std::string Find(const std::string& host, const std::string& path) const {
    const RoutedDocument* route = documents_.Find(host, path);
    return route == nullptr ? "none" : route->path_prefix;
  }
  // The longest prefix by comparison with all routes.
  std::string LongestPrefix(const std::string& path) const {
    std::string longest = "none";
    size_t size = 0;
    for (const auto& it : prefixes_) {
      if (path.starts_with(it) && (longest == "none" || it.size() > size)) {
        longest = it;
        size = it.size();
      }
    }
    return longest;
  }

  RoutedDocuments documents_;
  std::vector<std::string> prefixes_;
};

// Guards against a request that gets the route of a shorter prefix or of
// another host.
TEST_F(RoutedDocumentsTest, Find_NestedPrefixes_GivesTheLongest) {
  Add("a", "/");
  Add("a", "/x/");
  Add("a", "/x/y/");
  Add("b", "/x/y/z/");
  EXPECT_EQ(Find("a", "/x/y/1"), "/x/y/");
  EXPECT_EQ(Find("a", "/x/1"), "/x/");
  EXPECT_EQ(Find("a", "/z"), "/");
  EXPECT_EQ(Find("b", "/x/y/1"), "none");
  EXPECT_EQ(Find("c", "/x/y/1"), "none");
}

// Guards against an entry between a path and its prefix in the index.
TEST_F(RoutedDocumentsTest, Find_RandomPrefixes_AgreesWithSearchOfAll) {
  SeededRandom random(1);
  const auto text = [&](size_t max) {
    std::string out;
    for (size_t n = random.Below(max + 1); n > 0; --n) {
      out += static_cast<char>('a' + random.Below(2));
    }
    return out;
  };
  for (int i = 0; i < 60; ++i) {
    Add("a", text(6));
  }
  for (int i = 0; i < 2000; ++i) {
    const std::string path = text(10);
    ASSERT_EQ(Find("a", path), LongestPrefix(path)) << "path " << path;
  }
}

TEST_F(RoutedDocumentsTest, FindEnvironment_Unknown_GivesNothing) {
  Add("a", "/x/");
  EXPECT_EQ(documents_.FindEnvironment("other"), nullptr);
  ASSERT_NE(documents_.FindEnvironment("of a/x/"), nullptr);
  EXPECT_EQ(documents_.FindEnvironment("of a/x/")->path_prefix, "/x/");
}

}  // namespace
}  // namespace radishrail
